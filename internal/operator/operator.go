// Package operator reads the operator file, which enables optional features of an installation beyond the platform's
// configuration. The file is written in HCL. Every key has a default, and errors name file, line and key.
package operator

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

// maxHold bounds the total time for which an upgrade may suspend request handling: hold, transfer and commit.
const maxHold = 600 * time.Millisecond

// maxFileBytes bounds the size of the operator file.
const maxFileBytes = 1 << 20

// Config is the content of the operator file. The zero value disables everything.
type Config struct {
	Control Control
	Upgrade Upgrade
	Log     Log
	Audit   *Audit // nil if the dispatcher keeps no audit record
	Fleet   *Fleet // nil if the dispatcher isn't a member of a fleet
}

// Audit configures the record of the settings, routes and programs that the dispatcher acted on.
type Audit struct {
	Folder           string // path of the folder of the audit record; empty to keep it in memory only
	ConfigVersion    int64  // assigned by the operators; 0 for none
	MaxFiles         int    // files of the record to keep
	MaxFileMB        int    // maximum size of each file, in MB
	AdoptNewerConfig bool   // adopt a newer configuration from members that act on it
}

// Fleet configures the membership of the dispatcher in its fleet.
type Fleet struct {
	Name            string         // name of the fleet, the same for all members
	Listen          netip.AddrPort // for datagrams and connections from other members
	Advertise       netip.AddrPort // address of this member for the others; the zero value means Listen
	Seeds           []string       // host:port of members to contact first
	AllowedPrefixes []netip.Prefix // addresses of members; empty for loopback and private addresses
	ProbeInterval   time.Duration  // between two probes of a member
	Lease           time.Duration  // how long the dispatcher may act without contact with over half of the fleet; 0 for no limit
	RouteSource     string         // name of the route set source, the same for all members, if its address differs among them; empty to use the address
}

// Control configures the control socket.
type Control struct {
	Socket string // path of a Unix socket; empty for none
}

// Upgrade configures how the dispatcher replaces its own process. It requires the control socket.
type Upgrade struct {
	Binary               string        // path of the new program; empty for the path that this process was started from
	StartTimeout         time.Duration // for the hello message of the new process, and again for its loading of the first snapshot
	Probation            time.Duration // time for which the new process replays the events of this one before it takes over
	HoldTimeout          time.Duration // for this process to become idle
	TransferTimeout      time.Duration // for the new process to receive the state and the sockets
	CommitTimeout        time.Duration // for the new process to start acting
	RequireSameDecisions bool          // fall back if the new process decides differently during probation
	KeepPID              bool          // keep a small parent process, so that the PID seen by a supervisor never changes
	PIDFile              string        // path of the PID file, rewritten at each upgrade; empty for none
}

// Log configures the log.
type Log struct {
	Format string // text or json
}

// Default returns the configuration of an empty operator file.
func Default() Config {
	return Config{Upgrade: Upgrade{StartTimeout: 10 * time.Second, Probation: 1500 * time.Millisecond, HoldTimeout: 150 * time.Millisecond,
		TransferTimeout: 300 * time.Millisecond, CommitTimeout: 100 * time.Millisecond}, Log: Log{Format: "text"}}
}

// file is the HCL schema of the operator file.
type file struct {
	Control *struct {
		Socket *string `hcl:"socket"`
	} `hcl:"control,block"`
	Upgrade *struct {
		Binary               *string `hcl:"binary"`
		StartTimeout         *string `hcl:"start_within"`
		Probation            *string `hcl:"probation"`
		HoldTimeout          *string `hcl:"hold_at_most"`
		TransferTimeout      *string `hcl:"take_within"`
		CommitTimeout        *string `hcl:"act_within"`
		RequireSameDecisions *bool   `hcl:"same_decisions"`
		KeepPID              *bool   `hcl:"keep_pid"`
		PIDFile              *string `hcl:"pid_file"`
	} `hcl:"upgrade,block"`
	Log *struct {
		Format *string `hcl:"format"`
	} `hcl:"log,block"`
	Fleet *fleetFile `hcl:"fleet,block"`
	Audit *struct {
		Folder           *string `hcl:"folder"`
		ConfigVersion    *int64  `hcl:"version"`
		MaxFiles         *int    `hcl:"files"`
		MaxFileMB        *int    `hcl:"file_mb"`
		AdoptNewerConfig *bool   `hcl:"bring_up"`
	} `hcl:"audit,block"`
}

type fleetFile struct {
	Name            *string   `hcl:"name"`
	Listen          *string   `hcl:"listen"`
	Advertise       *string   `hcl:"advertise"`
	Seeds           *[]string `hcl:"seeds"`
	AllowedPrefixes *[]string `hcl:"allow"`
	ProbeInterval   *string   `hcl:"probe_every"`
	Lease           *string   `hcl:"lease"`
	RouteSource     *string   `hcl:"routes"`
}

// Load reads and validates the operator file at path.
func Load(path string) (Config, error) {
	f, err := os.Open(path)
	if err != nil {
		return Config{}, fmt.Errorf("operator file: %w", err)
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() > maxFileBytes {
		return Config{}, fmt.Errorf("operator file: %s: %d bytes, at most %d are allowed", path, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("operator file: %w", err)
	}
	return Parse(text, path)
}

// Parse reads and validates an operator file from its text. Relative paths in it are relative to the file's folder. The
// error joins all faults found.
func Parse(text []byte, path string) (Config, error) {
	parsed, diags := hclparse.NewParser().ParseHCL(text, path)
	if diags.HasErrors() {
		return Config{}, diagnosticsError(diags)
	}
	var f file
	if diags := gohcl.DecodeBody(parsed.Body, nil, &f); diags.HasErrors() {
		return Config{}, diagnosticsError(diags)
	}
	c := Default()
	at := keyPositions(parsed.Body)
	var faults []error
	addFault := func(key, format string, args ...any) {
		faults = append(faults, fmt.Errorf("%s: %s: %s", at(key), key, fmt.Sprintf(format, args...)))
	}
	duration := func(key string, from *string, to *time.Duration, minimum, maximum time.Duration) {
		if from == nil {
			return
		}
		d, err := time.ParseDuration(*from)
		switch {
		case err != nil:
			addFault(key, "%q must be a duration such as \"250ms\" or \"2s\"", *from)
		case d < minimum || d > maximum:
			addFault(key, "%v must be from %v to %v", d, minimum, maximum)
		default:
			*to = d
		}
	}
	resolvePath := func(from *string, to *string) {
		if from == nil || *from == "" {
			return
		}
		if *to = *from; !filepath.IsAbs(*to) {
			*to = filepath.Join(filepath.Dir(path), *to)
		}
	}
	if x := f.Control; x != nil {
		if resolvePath(x.Socket, &c.Control.Socket); len(c.Control.Socket) > 100 {
			addFault("control.socket", "the path of a Unix socket must not exceed 100 bytes, got %d", len(c.Control.Socket))
		}
	}
	if x := f.Upgrade; x != nil {
		resolvePath(x.Binary, &c.Upgrade.Binary)
		resolvePath(x.PIDFile, &c.Upgrade.PIDFile)
		duration("upgrade.start_within", x.StartTimeout, &c.Upgrade.StartTimeout, 100*time.Millisecond, 10*time.Minute)
		duration("upgrade.probation", x.Probation, &c.Upgrade.Probation, 10*time.Millisecond, 10*time.Minute)
		duration("upgrade.hold_at_most", x.HoldTimeout, &c.Upgrade.HoldTimeout, 10*time.Millisecond, time.Second)
		duration("upgrade.take_within", x.TransferTimeout, &c.Upgrade.TransferTimeout, 10*time.Millisecond, time.Second)
		duration("upgrade.act_within", x.CommitTimeout, &c.Upgrade.CommitTimeout, 10*time.Millisecond, time.Second)
		// A drain announced during the hold is noticed only after it, and must be noticed within 750 ms.
		if sum := c.Upgrade.HoldTimeout + c.Upgrade.TransferTimeout + c.Upgrade.CommitTimeout; sum > maxHold {
			addFault("upgrade", "hold_at_most, take_within and act_within add up to %v, at most %v is allowed so that drains are noticed in time", sum, maxHold)
		}
		if x.RequireSameDecisions != nil {
			c.Upgrade.RequireSameDecisions = *x.RequireSameDecisions
		}
		if x.KeepPID != nil {
			c.Upgrade.KeepPID = *x.KeepPID
		}
		if c.Control.Socket == "" {
			addFault("upgrade", "requires control.socket, which receives upgrade commands")
		}
	}
	if x := f.Log; x != nil && x.Format != nil {
		if c.Log.Format = *x.Format; c.Log.Format != "text" && c.Log.Format != "json" {
			addFault("log.format", "%q must be text or json", c.Log.Format)
		}
	}
	if x := f.Fleet; x != nil {
		c.Fleet = x.read(addFault)
		duration("fleet.lease", x.Lease, &c.Fleet.Lease, 3*time.Second, time.Hour)
		duration("fleet.probe_every", x.ProbeInterval, &c.Fleet.ProbeInterval, 50*time.Millisecond, time.Minute)
	}
	if x := f.Audit; x != nil {
		c.Audit = &Audit{MaxFiles: 16, MaxFileMB: 4, AdoptNewerConfig: true}
		if x.AdoptNewerConfig != nil {
			c.Audit.AdoptNewerConfig = *x.AdoptNewerConfig
		}
		resolvePath(x.Folder, &c.Audit.Folder)
		if x.ConfigVersion != nil {
			if c.Audit.ConfigVersion = *x.ConfigVersion; c.Audit.ConfigVersion < 0 || c.Audit.ConfigVersion > 1<<62 {
				addFault("audit.version", "%d must be from 0 to %d", c.Audit.ConfigVersion, int64(1)<<62)
			}
		}
		positiveInt := func(key string, from *int, to *int, maximum int) {
			if from == nil {
				return
			}
			if *to = *from; *to < 1 || *to > maximum {
				addFault(key, "%d must be from 1 to %d", *to, maximum)
			}
		}
		positiveInt("audit.files", x.MaxFiles, &c.Audit.MaxFiles, 10000)
		positiveInt("audit.file_mb", x.MaxFileMB, &c.Audit.MaxFileMB, 1024)
	}
	return c, errors.Join(faults...)
}

// Bounds of the fleet block.
const (
	maxSeeds           = 64
	maxAllowedPrefixes = 256
	maxNameBytes       = 64
)

// read validates the fleet block. Any host that reaches the listener can send as a member, so allow must list the peers
// unless the listener has a loopback or private address.
func (x *fleetFile) read(fault func(key, format string, args ...any)) *Fleet {
	f := &Fleet{ProbeInterval: 500 * time.Millisecond}
	address := func(key string, from *string, to *netip.AddrPort) {
		if from == nil {
			return
		}
		at, err := netip.ParseAddrPort(*from)
		if err != nil || at.Port() == 0 {
			fault(key, "%q must be an address with a port, such as \"10.0.0.4:7946\"", *from)
			return
		}
		*to = at
	}
	if x.Name != nil {
		f.Name = *x.Name
	}
	if f.Name == "" || len(f.Name) > maxNameBytes {
		fault("fleet.name", "%d bytes, must be from 1 to %d", len(f.Name), maxNameBytes)
	}
	if x.Listen == nil {
		fault("fleet.listen", "missing")
	}
	address("fleet.listen", x.Listen, &f.Listen)
	address("fleet.advertise", x.Advertise, &f.Advertise)
	if x.RouteSource != nil {
		if f.RouteSource = *x.RouteSource; len(f.RouteSource) > 2*maxNameBytes {
			fault("fleet.routes", "%d bytes, at most %d are allowed", len(f.RouteSource), 2*maxNameBytes)
		}
	}
	if x.Seeds != nil {
		f.Seeds = *x.Seeds
	}
	if len(f.Seeds) > maxSeeds {
		fault("fleet.seeds", "%d seeds, at most %d are allowed", len(f.Seeds), maxSeeds)
	}
	for _, s := range f.Seeds {
		if host, port, err := net.SplitHostPort(s); err != nil || host == "" || port == "" {
			fault("fleet.seeds", "%q must be host:port", s)
		}
	}
	if x.AllowedPrefixes != nil {
		for _, text := range *x.AllowedPrefixes {
			p, err := netip.ParsePrefix(text)
			if err != nil {
				fault("fleet.allow", "%q must be an address prefix such as \"10.0.0.0/24\"", text)
				continue
			}
			f.AllowedPrefixes = append(f.AllowedPrefixes, p)
		}
	}
	switch at := f.Listen.Addr(); {
	case len(f.AllowedPrefixes) > maxAllowedPrefixes:
		fault("fleet.allow", "%d prefixes, at most %d are allowed", len(f.AllowedPrefixes), maxAllowedPrefixes)
	case !at.IsValid():
	case at.IsUnspecified() && !f.Advertise.IsValid():
		fault("fleet.listen", "%v listens on every address, so advertise must name one", at)
	case len(f.AllowedPrefixes) == 0 && !at.IsLoopback() && !at.IsPrivate():
		fault("fleet.listen", "%v is neither loopback nor private, so allow must list the members", at)
	}
	return f
}

// diagnosticsError joins the errors among the HCL diagnostics, each with file and line.
func diagnosticsError(diags hcl.Diagnostics) error {
	var all []error
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			where := "operator file"
			if d.Subject != nil {
				where = fmt.Sprintf("%s:%d", d.Subject.Filename, d.Subject.Start.Line)
			}
			all = append(all, fmt.Errorf("%s: %s: %s", where, d.Summary, d.Detail))
		}
	}
	return errors.Join(all...)
}
