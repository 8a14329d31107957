package localrun

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/settings"
)

const (
	settingsVariable = "FOLDLB_SETTINGS"
	privateFile      = 0o600
	privateFolder    = 0o700
)

// process is one process of the service, and those started after it with the same settings.
type process struct {
	program  string
	role     string
	folder   string // of its settings, its log and its data
	settings *settings.Settings

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed when the command has ended
	unasked error         // the process ended without having been killed
	killed  bool
}

// newProcess prepares a process in a folder of its own below root.
func newProcess(program, role, root string, wanted *settings.Settings) (*process, error) {
	folder := filepath.Join(root, wanted.Node)
	if err := os.MkdirAll(folder, privateFolder); err != nil {
		return nil, errors.Wrap(err, "create a folder for a process")
	}
	wanted.Path = filepath.Join(folder, "settings.yaml")
	if role != roleDispatcher {
		wanted.DataDir = filepath.Join(folder, "data")
	}
	return &process{program: program, role: role, folder: folder, settings: wanted}, nil
}

// start writes the settings and starts the process. Only the first start of all bootstraps the system.
func (p *process) start(bootstrap bool) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.settings.Bootstrap = bootstrap
	if err := writeSettings(p.settings); err != nil {
		return err
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, privateFile)
	if err != nil {
		return errors.Wrap(err, "open the log of a process")
	}
	defer log.Close()
	command := exec.Command(p.program, p.role)
	command.Env = append(os.Environ(), settingsVariable+"="+p.settings.Path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s: build it first", p.program)
	}
	p.command, p.ended, p.killed = command, make(chan struct{}), false
	go p.await(command, p.ended)
	return nil
}

// await notes an end that nobody asked for.
func (p *process) await(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.killed {
		p.unasked = errors.Errorf("%s ended by itself: %v", p.settings.Node, err)
	}
	close(ended)
}

// kill ends the process at once, as a crash does, and returns when it is gone.
func (p *process) kill() {
	p.mutex.Lock()
	command, ended := p.command, p.ended
	p.killed = true
	p.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill() // an error says that it has ended already
	<-ended
}

// terminate asks the process to end, and reports whether it did within the bound. It is killed otherwise.
func (p *process) terminate(bound time.Duration) bool {
	p.mutex.Lock()
	command, ended := p.command, p.ended
	p.killed = true
	p.mutex.Unlock()
	_ = command.Process.Signal(os.Interrupt)
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		p.kill()
		return false
	}
}

// fault is the error of a process that ended by itself, or nil.
func (p *process) fault() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.unasked
}

func (p *process) logPath() string { return filepath.Join(p.folder, "log") }
