package failover

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

var testRecord = Record{
	Identity:   "a:1#0",
	VotedEpoch: 300,
	VotedFor:   "b:1#0",
	Version:    Version{Epoch: 299, Seq: 1 << 40},
	Contents: Contents{
		State:   []byte("state"),
		Members: []Member{{ID: "a:1#0", Address: "a:1", Zone: "east"}, {ID: "b:1#0", Address: "b:1"}},
	},
}

func TestRecordIsReadBack(t *testing.T) {
	decoded, err := DecodeRecord(testRecord.Encode())
	must.NoError(t, err)
	must.Eq(t, testRecord, decoded)
}

func TestRecordCutShort(t *testing.T) {
	encoded := testRecord.Encode()
	header := len(encoded) - len(testRecord.Contents.State)
	for length := range header {
		_, err := DecodeRecord(encoded[:length])
		must.True(t, errors.As(err, &CorruptRecordError{}), must.Sprintf("length %d", length))
	}
}

func openStore(t *testing.T, folder string) *FileStore {
	store, err := OpenFileStore(folder, "record")
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, store.Close()) })
	return store
}

func mustLoad(t *testing.T, folder string) string {
	record, err := openStore(t, folder).Load()
	must.NoError(t, err)
	return string(record)
}

func TestFileStoreKeepsNewest(t *testing.T) {
	folder := t.TempDir()
	must.EqOp(t, "", mustLoad(t, folder))
	for _, record := range []string{"first and long", "second", "third", "4"} {
		store := openStore(t, folder)
		_, err := store.Load()
		must.NoError(t, err)
		must.NoError(t, store.Save([]byte(record)))
		must.EqOp(t, record, mustLoad(t, folder))
	}
}

// TestFileStoreTornSave damages the file of the newest save at every byte.
func TestFileStoreTornSave(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	must.NoError(t, store.Save([]byte("first")))
	must.NoError(t, store.Save([]byte("second")))
	path := filepath.Join(folder, "record.0")
	whole, err := os.ReadFile(path)
	must.NoError(t, err)
	for position := range whole {
		torn := append([]byte(nil), whole...)
		torn[position] ^= 0x40
		must.NoError(t, os.WriteFile(path, torn, 0o600))
		must.EqOp(t, "first", mustLoad(t, folder))
		must.NoError(t, os.WriteFile(path, whole[:position], 0o600))
		must.EqOp(t, "first", mustLoad(t, folder))
	}
}

func TestFileStoreBothBroken(t *testing.T) {
	folder := t.TempDir()
	for _, name := range []string{"record.0", "record.1"} {
		must.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte("not a record of any kind"), 0o600))
	}
	_, err := openStore(t, folder).Load()
	must.True(t, errors.As(err, &CorruptRecordError{}))
}
