package controlplane

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/coord/failover"
	"foldlb.example/foldlb/internal/settings"
)

// logLines collects log lines.
type logLines struct {
	mutex sync.Mutex
	lines []string
}

func (l *logLines) logger() logr.Logger {
	return funcr.New(func(_, line string) {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.lines = append(l.lines, line)
	}, funcr.Options{})
}

func (l *logLines) text() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return strings.Join(l.lines, "\n")
}

// breakRecord corrupts both files of the record.
func breakRecord(t *testing.T, folder string) {
	t.Helper()
	for _, suffix := range []string{".0", ".1"} {
		path := filepath.Join(folder, recordFileName+suffix)
		must.NoError(t, os.WriteFile(path, []byte("not a record of any kind"), 0o600))
	}
}

func TestBrokenRecordStartsALearner(t *testing.T) {
	folder := t.TempDir()
	breakRecord(t, folder)
	var logged logLines
	configured := &settings.Settings{
		Listen:    settings.Listen{Control: "127.0.0.1:1"},
		Seeds:     []string{"127.0.0.1:1"},
		Bootstrap: true,
		DataDir:   folder,
	}
	server, err := New(Options{Settings: configured, Log: logged.logger()})
	must.NoError(t, err)
	t.Cleanup(server.close)
	status := server.node.Status()
	must.False(t, status.Voter)
	must.SliceEmpty(t, status.Members)
	must.StrContains(t, logged.text(), "copy of the control state")
	must.StrContains(t, logged.text(), "neither file is whole")
	must.StrContains(t, logged.text(), status.Identity)
}

func TestUnreadableFolderIsAnError(t *testing.T) {
	_, err := startNode(failover.Config{Storage: failingStorage{}})
	must.ErrorContains(t, err, "disk trouble")
}

// failingStorage fails with an error other than a corrupt record.
type failingStorage struct {
	failover.Storage
}

func (failingStorage) Load() ([]byte, error) { return nil, fmt.Errorf("disk trouble") }

func TestBrokenRecordOfAVoterIsReplaced(t *testing.T) {
	c := newCluster(t, 3, nil)
	leader := c.leader()
	must.Eq(t, http.StatusOK, c.callUntilDefinite(leader, http.MethodPost, replacePath, "0", configWith(5, "a")).status)
	position := 0
	if c.servers[position] == leader {
		position++
	}
	ended := c.servers[position]
	lost := ended.identity()
	ended.end()
	breakRecord(t, ended.settings().DataDir)
	listener, err := net.Listen("tcp4", ended.address)
	must.NoError(t, err)
	restarted := startServer(t, ended.options.Settings, listener)
	c.servers[position] = restarted
	must.NotEq(t, lost, restarted.identity())
	eventually(t, func() error {
		status := restarted.node.Status()
		if !status.Voter || restarted.state.committed().ConfigVersion != 5 {
			return fmt.Errorf("not a voter with the state yet: %v", status.Members)
		}
		if isVoter(status.Members, lost) {
			return fmt.Errorf("the lost identity is still a voter")
		}
		return nil
	})
}
