package config

import (
	"fmt"

	"foldlb.example/foldlb/choice"
)

// settingsObject is the JSON format of the settings object, both in the NODE_CONFIG file and in the simulator.
// Unknown keys are ignored.
type settingsObject struct {
	Allowed struct {
		Cancel        bool    `json:"cancel"`
		DialTimeout   float64 `json:"dial_timeout_s"`
		IdleClose     float64 `json:"idle_close_s"`
		MaxAttempts   int     `json:"max_attempts"`
		MaxRetryAfter float64 `json:"max_retry_after_s"`
		OpenCap       int     `json:"open_cap"`
		Peers         bool    `json:"peers"`
		Probing       bool    `json:"probing"`
		RetryAfter    bool    `json:"retry_after"`
		SecondCopies  bool    `json:"second_copies"`
	} `json:"allowed"`
	Balancers int    `json:"balancers"`
	CountedBy string `json:"counted_by"`
	Classes   []struct {
		Name       string  `json:"name"`
		Effect     string  `json:"effect"`
		Group      string  `json:"group"`
		Window     float64 `json:"dedup_window_s"`
		Aim        float64 `json:"aim_s"`
		AimStretch float64 `json:"aim_stretch"`
		Deadline   float64 `json:"deadline_s"`
		LateWorth  float64 `json:"late_worth"`
		Worth      float64 `json:"worth"`
		Stream     bool    `json:"stream"`
	} `json:"classes"`
	Contract struct {
		AskWithin      float64 `json:"ask_within_s"`
		ColdShare      float64 `json:"cold_share"`
		DrainGrace     float64 `json:"drain_grace_s"`
		OverloadFactor float64 `json:"overload_factor"`
		TipAfter       float64 `json:"tip_after_s"`
		WarmWithin     float64 `json:"warm_within_s"`
	} `json:"contract"`
	Customers []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
		Share float64 `json:"share"`
	} `json:"customers"`
	FamilyInfo struct {
		ClassKind     []int     `json:"class_kind"`
		ClassPriority []int     `json:"class_priority"`
		ClassStretch  []float64 `json:"class_stretch"`
		Progress      float64   `json:"progress_s"`
		TellsStart    bool      `json:"tells_start"`
		X0            string    `json:"report_x0"`
		X1            string    `json:"report_x1"`
	} `json:"family_info"`
	Me             int     `json:"me"`
	OverShareWorth float64 `json:"over_share_worth"`
	Prices         struct {
		Connection float64 `json:"connection"`
		CrossZone  float64 `json:"cross_zone"`
		Discovery  float64 `json:"registry_mode"`
		Handshake  float64 `json:"handshake"`
		LateFail   float64 `json:"late_fail"`
		Peer       float64 `json:"peer"`
		Probe      float64 `json:"probe"`
		Waste      float64 `json:"waste"`
	} `json:"prices"`
	RegistryMode string   `json:"registry_mode"`
	Kinds        []string `json:"skus"`
	Telemetry    struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"telemetry"`
	WeightKind string   `json:"weight_kind"`
	Zone       string   `json:"zone"`
	Zones      []string `json:"zones"`
}

var (
	effects = map[string]choice.Effect{"": choice.Idempotent, "idempotent": choice.Idempotent,
		"deduplicated": choice.Deduplicated, "at_most_once": choice.AtMostOnce}
	groups = map[string]choice.Group{"": choice.GroupAll, "all": choice.GroupAll,
		"zone": choice.GroupZone, "cell": choice.GroupCell}
)

// defaultAskWithinS is the default, in seconds, of contract.ask_within_s: the time within which the worker
// list must be requested.
const defaultAskWithinS = 10

// ParseSettings decodes the settings object. Missing keys get their defaults.
func ParseSettings(text []byte) (choice.Settings, error) {
	c := settingsObject{Balancers: 1}
	c.Allowed.MaxAttempts = 1
	c.Allowed.MaxRetryAfter = 1
	c.Contract.AskWithin = defaultAskWithinS
	c.Contract.OverloadFactor = 1
	c.Contract.TipAfter = 1
	var s choice.Settings
	if err := decode(text, &c); err != nil {
		return s, fmt.Errorf("not a settings object: %w", err)
	}
	if c.Contract.AskWithin <= 0 { // the pauses between discovery calls are fractions of it; 0 would flood discovery
		c.Contract.AskWithin = defaultAskWithinS
	}
	s = choice.Settings{
		Self: c.Me, Dispatchers: c.Balancers, Zone: c.Zone,
		Prices: choice.Prices{CrossZone: c.Prices.CrossZone, Waste: c.Prices.Waste,
			Connection: c.Prices.Connection, Handshake: c.Prices.Handshake, Probe: c.Prices.Probe,
			Peer: c.Prices.Peer, Discovery: c.Prices.Discovery, LateFail: c.Prices.LateFail},
		AskWithin: c.Contract.AskWithin, MaxAttempts: c.Allowed.MaxAttempts,
		CanProbe: c.Allowed.Probing, CanTell: c.Allowed.Peers, CanCancel: c.Allowed.Cancel,
		SecondCopies: c.Allowed.SecondCopies, RetryAfter: c.Allowed.RetryAfter,
		MaxRetryAfter: c.Allowed.MaxRetryAfter, DialTimeout: c.Allowed.DialTimeout,
		ConnIdle: c.Allowed.IdleClose, OpenCap: c.Allowed.OpenCap,
		DrainGrace: c.Contract.DrainGrace, OverloadFactor: c.Contract.OverloadFactor,
		TipAfter: c.Contract.TipAfter, ColdShare: c.Contract.ColdShare, WarmWithin: c.Contract.WarmWithin,
		OverShareWorth: c.OverShareWorth, ReportFields: c.Telemetry.Fields,
		LiveShare: c.WeightKind == "live", WorthByWork: c.CountedBy == "work", TellsStart: c.FamilyInfo.TellsStart,
		ProgressEvery: c.FamilyInfo.Progress, FreeSlots: -1, FreeMem: -1, ErrorsPerS: -1, ServiceMillis: -1,
	}
	switch c.RegistryMode {
	case "", "pushed":
	case "on_request":
		s.ListOnRequest = true
	default:
		return s, fmt.Errorf("registry_mode: unknown value %q", c.RegistryMode)
	}
	switch c.Telemetry.How {
	case "", "on_probe":
	case "inline":
		s.ReportsInOutcomes = true
	case "off":
		s.ReportFields = nil
	default:
		return s, fmt.Errorf("telemetry.how: unknown value %q", c.Telemetry.How)
	}
	meaning := map[string]string{"x0": c.FamilyInfo.X0, "x1": c.FamilyInfo.X1}
	for i, f := range s.ReportFields {
		switch {
		case meaning[f] == "free slots":
			s.FreeSlots = i
		case meaning[f] == "free memory":
			s.FreeMem = i
		case f == "errors_per_s":
			s.ErrorsPerS = i
		case f == "recent_ms":
			s.ServiceMillis = i
		}
	}
	for _, t := range c.Customers {
		s.Tenants = append(s.Tenants, choice.Tenant{Name: t.Name, Share: t.Share, Quota: t.Quota})
	}
	for i, k := range c.Classes {
		e, ok := effects[k.Effect]
		if !ok {
			return s, fmt.Errorf("classes.effect: unknown value %q", k.Effect)
		}
		g, ok := groups[k.Group]
		if !ok {
			return s, fmt.Errorf("classes.group: unknown value %q", k.Group)
		}
		class := choice.Class{Name: k.Name, Effect: e, Group: g, Window: k.Window, Aim: k.Aim,
			Stretch: k.AimStretch, Deadline: k.Deadline, LateWorth: k.LateWorth, Worth: k.Worth, Stream: k.Stream}
		f := c.FamilyInfo
		if i < len(f.ClassStretch) {
			class.Stretch = f.ClassStretch[i]
		}
		if i < len(f.ClassPriority) {
			class.Priority = f.ClassPriority[i]
		}
		if i < len(f.ClassKind) && f.ClassKind[i] >= 0 {
			if f.ClassKind[i] < len(c.Kinds) {
				class.Kind = c.Kinds[f.ClassKind[i]]
			} else {
				class.KindUnknown = true
			}
		}
		s.Classes = append(s.Classes, class)
	}
	return s, nil
}
