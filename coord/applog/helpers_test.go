package applog

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

const testLogName = "records"

// openCollecting opens a log and returns it with the replayed payloads and the regions reported as corrupt.
func openCollecting(t *testing.T, directory string, options Options) (*Log, []string, []Position) {
	t.Helper()
	var payloads []string
	var corrupt []Position
	options.OnCorrupt = func(region Position) { corrupt = append(corrupt, region) }
	log, err := Open(directory, testLogName, options, func(_ Position, payload []byte) error {
		payloads = append(payloads, string(payload))
		return nil
	})
	must.NoError(t, err)
	return log, payloads, corrupt
}

// replayContent opens a log with the given file content and returns the replayed payloads and corrupt regions.
func replayContent(t *testing.T, content []byte) ([]string, []Position) {
	t.Helper()
	directory := t.TempDir()
	must.NoError(t, os.WriteFile(filepath.Join(directory, testLogName), content, fileMode))
	log, payloads, corrupt := openCollecting(t, directory, Options{})
	must.NoError(t, log.Close())
	return payloads, corrupt
}

func readLogFile(t *testing.T, directory string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(directory, testLogName))
	must.NoError(t, err)
	return content
}

// appendRandom appends count records of random bytes and returns their payloads.
func appendRandom(t *testing.T, log *Log, random *rand.Rand, count, maxLength int) []string {
	t.Helper()
	var payloads []string
	for range count {
		payload := make([]byte, random.IntN(maxLength+1))
		for i := range payload {
			payload[i] = byte(random.Uint32())
		}
		_, err := log.Append(payload)
		must.NoError(t, err)
		payloads = append(payloads, string(payload))
	}
	return payloads
}

// faultyFile is a dataFile whose writes and syncs can fail and whose syncs can be blocked. It performs no sync.
type faultyFile struct {
	dataFile
	mutex       sync.Mutex
	writeError  error // returned by writes, which then write only half of the bytes
	syncError   error
	syncs       int
	syncStarted chan struct{} // if set, each sync sends to it when it starts
	finishSync  chan struct{} // with syncStarted set, each sync receives from it before it returns
}

func (f *faultyFile) setErrors(writeError, syncError error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.writeError = writeError
	f.syncError = syncError
}

func (f *faultyFile) WriteAt(content []byte, offset int64) (int, error) {
	f.mutex.Lock()
	failure := f.writeError
	f.mutex.Unlock()
	if failure == nil {
		return f.dataFile.WriteAt(content, offset)
	}
	count, _ := f.dataFile.WriteAt(content[:len(content)/2], offset)
	return count, failure
}

func (f *faultyFile) SyncData() error {
	f.mutex.Lock()
	f.syncs++
	failure := f.syncError
	f.mutex.Unlock()
	if f.syncStarted != nil {
		f.syncStarted <- struct{}{}
		<-f.finishSync
	}
	return failure
}

// openFaulty opens an empty log whose file is a faultyFile.
func openFaulty(t *testing.T, directory string, options Options) (*Log, *faultyFile) {
	t.Helper()
	file, size, err := openFile(directory, testLogName)
	must.NoError(t, err)
	must.Zero(t, size)
	faulty := &faultyFile{dataFile: file}
	return startLog(faulty, 0, directory, testLogName, options), faulty
}

// writeLogFile replaces the content of a log's file.
func writeLogFile(directory string, content []byte) error {
	return os.WriteFile(filepath.Join(directory, testLogName), content, fileMode)
}
