// Package operator reads the operator file: what an installation switches on beyond the platform's configuration.
// It is written in HCL. Every key has a default, and an error names file, line and key.
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

// mostHeld bounds the time for which an upgrade may hold everything still.
const mostHeld = 600 * time.Millisecond

// mostBytes bounds the file.
const mostBytes = 1 << 20

// Config is what the operator file says. The zero value is that of no file: everything is off.
type Config struct {
	Control Control
	Upgrade Upgrade
	Log     Log
	Audit   *Audit // nil where this dispatcher keeps no account of what it acted on
	Fleet   *Fleet // nil where this dispatcher keeps no view of its fleet
}

// Audit says how the dispatcher keeps account of what it acted on.
type Audit struct {
	Folder           string // for its record; empty for memory only
	ConfigVersion    int64  // of the configuration, stated by the operators; 0 for none
	MaxFiles         int    // that are kept
	MaxFileMB        int    // of each
	AdoptNewerConfig bool   // a newer configuration is taken from members that act on it
}

// Fleet says how the dispatcher is a member of its fleet.
type Fleet struct {
	Name            string         // that all its members say
	Listen          netip.AddrPort // for datagrams and connections of other members
	Advertise       netip.AddrPort // where they find this one; the zero value for Listen
	Seeds           []string       // host:port of some members
	AllowedPrefixes []netip.Prefix // of members; empty for loopback and private addresses
	ProbeInterval   time.Duration  // between two questions to a member
	Lease           time.Duration  // for which the dispatcher may act without touch with the fleet; 0 for any time
	RouteSource     string         // what the members call the source of route sets, where its address differs among them; empty for its address
}

// Control is the control socket.
type Control struct {
	Socket string // path; empty for none
}

// Upgrade says how the dispatcher replaces itself. It needs the control socket.
type Upgrade struct {
	Binary               string        // of the new process; empty for the path that this one was started from
	StartTimeout         time.Duration // for the new process to say hello, and again to take up a first snapshot
	Probation            time.Duration // for which it follows before it takes over
	HoldTimeout          time.Duration // for this process to come to rest
	TransferTimeout      time.Duration // for the new process to take everything up
	CommitTimeout        time.Duration // for it to act
	RequireSameDecisions bool          // other decisions than this process's while it follows are a reason to fall back
	KeepPID              bool          // a small first process stays, so that a supervisor sees one PID for ever
	PIDFile              string        // rewritten at each upgrade; empty for none
}

// Log says how the log is written.
type Log struct {
	Format string // text or json
}

// Default is what an empty operator file says.
func Default() Config {
	return Config{Upgrade: Upgrade{StartTimeout: 10 * time.Second, Probation: 1500 * time.Millisecond, HoldTimeout: 150 * time.Millisecond,
		TransferTimeout: 300 * time.Millisecond, CommitTimeout: 100 * time.Millisecond}, Log: Log{Format: "text"}}
}

// file is the format of the operator file.
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

// Load reads an operator file.
func Load(path string) (Config, error) {
	f, err := os.Open(path)
	if err != nil {
		return Config{}, fmt.Errorf("operator file: %w", err)
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() > mostBytes {
		return Config{}, fmt.Errorf("operator file: %s: %d bytes, %d at most", path, info.Size(), mostBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("operator file: %w", err)
	}
	return Parse(text, path)
}

// Parse reads an operator file's text. Paths in it that are not absolute count from the file's folder.
func Parse(text []byte, path string) (Config, error) {
	parsed, diags := hclparse.NewParser().ParseHCL(text, path)
	if diags.HasErrors() {
		return Config{}, named(diags)
	}
	var f file
	if diags := gohcl.DecodeBody(parsed.Body, nil, &f); diags.HasErrors() {
		return Config{}, named(diags)
	}
	c := Default()
	at := places(parsed.Body)
	var faults []error
	fault := func(key, format string, args ...any) {
		faults = append(faults, fmt.Errorf("%s: %s: %s", at(key), key, fmt.Sprintf(format, args...)))
	}
	duration := func(key string, from *string, to *time.Duration, least, most time.Duration) {
		if from == nil {
			return
		}
		d, err := time.ParseDuration(*from)
		switch {
		case err != nil:
			fault(key, "%q is not a time such as \"250ms\" or \"2s\"", *from)
		case d < least || d > most:
			fault(key, "%v is not from %v to %v", d, least, most)
		default:
			*to = d
		}
	}
	full := func(from *string, to *string) {
		if from == nil || *from == "" {
			return
		}
		if *to = *from; !filepath.IsAbs(*to) {
			*to = filepath.Join(filepath.Dir(path), *to)
		}
	}
	if x := f.Control; x != nil {
		if full(x.Socket, &c.Control.Socket); len(c.Control.Socket) > 100 {
			fault("control.socket", "a Unix socket's path has 100 bytes at most, this one %d", len(c.Control.Socket))
		}
	}
	if x := f.Upgrade; x != nil {
		full(x.Binary, &c.Upgrade.Binary)
		full(x.PIDFile, &c.Upgrade.PIDFile)
		duration("upgrade.start_within", x.StartTimeout, &c.Upgrade.StartTimeout, 100*time.Millisecond, 10*time.Minute)
		duration("upgrade.probation", x.Probation, &c.Upgrade.Probation, 10*time.Millisecond, 10*time.Minute)
		duration("upgrade.hold_at_most", x.HoldTimeout, &c.Upgrade.HoldTimeout, 10*time.Millisecond, time.Second)
		duration("upgrade.take_within", x.TransferTimeout, &c.Upgrade.TransferTimeout, 10*time.Millisecond, time.Second)
		duration("upgrade.act_within", x.CommitTimeout, &c.Upgrade.CommitTimeout, 10*time.Millisecond, time.Second)
		// Danger: a drain that is told while everything is held is known only afterwards, and must be within 750 ms.
		if sum := c.Upgrade.HoldTimeout + c.Upgrade.TransferTimeout + c.Upgrade.CommitTimeout; sum > mostHeld {
			fault("upgrade", "hold_at_most, take_within and act_within are %v together, %v at most: drains must be kept meanwhile", sum, mostHeld)
		}
		if x.RequireSameDecisions != nil {
			c.Upgrade.RequireSameDecisions = *x.RequireSameDecisions
		}
		if x.KeepPID != nil {
			c.Upgrade.KeepPID = *x.KeepPID
		}
		if c.Control.Socket == "" {
			fault("upgrade", "needs control.socket, over which an upgrade is asked for")
		}
	}
	if x := f.Log; x != nil && x.Format != nil {
		if c.Log.Format = *x.Format; c.Log.Format != "text" && c.Log.Format != "json" {
			fault("log.format", "%q is neither text nor json", c.Log.Format)
		}
	}
	if x := f.Fleet; x != nil {
		c.Fleet = x.read(fault)
		duration("fleet.lease", x.Lease, &c.Fleet.Lease, 3*time.Second, time.Hour)
		duration("fleet.probe_every", x.ProbeInterval, &c.Fleet.ProbeInterval, 50*time.Millisecond, time.Minute)
	}
	if x := f.Audit; x != nil {
		c.Audit = &Audit{MaxFiles: 16, MaxFileMB: 4, AdoptNewerConfig: true}
		if x.AdoptNewerConfig != nil {
			c.Audit.AdoptNewerConfig = *x.AdoptNewerConfig
		}
		full(x.Folder, &c.Audit.Folder)
		if x.ConfigVersion != nil {
			if c.Audit.ConfigVersion = *x.ConfigVersion; c.Audit.ConfigVersion < 0 || c.Audit.ConfigVersion > 1<<62 {
				fault("audit.version", "%d is not from 0 to %d", c.Audit.ConfigVersion, int64(1)<<62)
			}
		}
		whole := func(key string, from *int, to *int, most int) {
			if from == nil {
				return
			}
			if *to = *from; *to < 1 || *to > most {
				fault(key, "%d is not from 1 to %d", *to, most)
			}
		}
		whole("audit.files", x.MaxFiles, &c.Audit.MaxFiles, 10000)
		whole("audit.file_mb", x.MaxFileMB, &c.Audit.MaxFileMB, 1024)
	}
	return c, errors.Join(faults...)
}

// The bounds of lists in the fleet block.
const (
	mostSeeds = 64
	mostAllow = 256
	mostName  = 64
)

// read checks the fleet block. Danger: whoever reaches the listener may speak as a member, so beyond loopback and private
// addresses its peers must be named.
func (x *fleetFile) read(fault func(key, format string, args ...any)) *Fleet {
	f := &Fleet{ProbeInterval: 500 * time.Millisecond}
	address := func(key string, from *string, to *netip.AddrPort) {
		if from == nil {
			return
		}
		at, err := netip.ParseAddrPort(*from)
		if err != nil || at.Port() == 0 {
			fault(key, "%q is not an address with a port, such as \"10.0.0.4:7946\"", *from)
			return
		}
		*to = at
	}
	if x.Name != nil {
		f.Name = *x.Name
	}
	if f.Name == "" || len(f.Name) > mostName {
		fault("fleet.name", "%d bytes, 1 to %d are needed", len(f.Name), mostName)
	}
	if x.Listen == nil {
		fault("fleet.listen", "is needed")
	}
	address("fleet.listen", x.Listen, &f.Listen)
	address("fleet.advertise", x.Advertise, &f.Advertise)
	if x.RouteSource != nil {
		if f.RouteSource = *x.RouteSource; len(f.RouteSource) > 2*mostName {
			fault("fleet.routes", "%d bytes, %d at most", len(f.RouteSource), 2*mostName)
		}
	}
	if x.Seeds != nil {
		f.Seeds = *x.Seeds
	}
	if len(f.Seeds) > mostSeeds {
		fault("fleet.seeds", "%d, %d at most", len(f.Seeds), mostSeeds)
	}
	for _, s := range f.Seeds {
		if host, port, err := net.SplitHostPort(s); err != nil || host == "" || port == "" {
			fault("fleet.seeds", "%q is not host:port", s)
		}
	}
	if x.AllowedPrefixes != nil {
		for _, text := range *x.AllowedPrefixes {
			p, err := netip.ParsePrefix(text)
			if err != nil {
				fault("fleet.allow", "%q is not an address set such as \"10.0.0.0/24\"", text)
				continue
			}
			f.AllowedPrefixes = append(f.AllowedPrefixes, p)
		}
	}
	switch at := f.Listen.Addr(); {
	case len(f.AllowedPrefixes) > mostAllow:
		fault("fleet.allow", "%d, %d at most", len(f.AllowedPrefixes), mostAllow)
	case !at.IsValid():
	case at.IsUnspecified() && !f.Advertise.IsValid():
		fault("fleet.listen", "%v is every address, so advertise must name one", at)
	case len(f.AllowedPrefixes) == 0 && !at.IsLoopback() && !at.IsPrivate():
		fault("fleet.listen", "%v is neither loopback nor private, so allow must name the members", at)
	}
	return f
}

// named words HCL's errors with file, line and what is at fault.
func named(diags hcl.Diagnostics) error {
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
