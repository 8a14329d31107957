package failover

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Layout of a slot: checksum of all that follows, length of the record, number of the save, record.
const (
	slotChecksumAt = 0
	slotLengthAt   = 4
	slotNumberAt   = 8
	slotHeaderSize = 16
	slotCount      = 2
)

var slotChecksumTable = crc32.MakeTable(crc32.Castagnoli)

// FileStore is a Storage that writes to two files in turn. A save overwrites the older one and syncs it once; a crash
// during it leaves the newer one whole.
type FileStore struct {
	files      [slotCount]*os.File
	lastNumber uint64 // of the newest save; its slot is lastNumber % slotCount
}

// OpenFileStore opens the files name.0 and name.1 in a folder that exists, and creates them where they are missing.
func OpenFileStore(folder, name string) (*FileStore, error) {
	store := &FileStore{}
	for position := range store.files {
		path := filepath.Join(folder, name+"."+string(rune('0'+position)))
		file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
		if err != nil {
			store.Close()
			return nil, errors.Wrap(err, "open a file of the record")
		}
		store.files[position] = file
	}
	if err := syncFolder(folder); err != nil {
		store.Close()
		return nil, err
	}
	return store, nil
}

// Load returns the newest record that was saved, or nothing where none ever was. It fails with CorruptRecordError where
// both files hold something that can't be read back.
func (store *FileStore) Load() ([]byte, error) {
	var newest []byte
	broken := 0
	for _, file := range store.files {
		content, err := readSynced(file)
		if err != nil {
			return nil, errors.Wrap(err, "read a file of the record")
		}
		record, number, isWhole := decodeSlot(content)
		if !isWhole && len(content) > 0 {
			broken++
		}
		if isWhole && number > store.lastNumber {
			store.lastNumber = number
			newest = record
		}
	}
	if broken == slotCount {
		return nil, CorruptRecordError{Reason: "neither file is whole"}
	}
	return newest, nil
}

// Save writes the record over the older one and syncs it.
func (store *FileStore) Save(record []byte) error {
	number := store.lastNumber + 1
	file := store.files[number%slotCount]
	if _, err := file.WriteAt(encodeSlot(record, number), 0); err != nil {
		return errors.Wrap(err, "write the record")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync the record")
	}
	store.lastNumber = number
	return nil
}

// Close closes the files.
func (store *FileStore) Close() error {
	var firstError error
	for _, file := range store.files {
		if file == nil {
			continue
		}
		if err := file.Close(); err != nil && firstError == nil {
			firstError = err
		}
	}
	return firstError
}

func encodeSlot(record []byte, number uint64) []byte {
	slot := make([]byte, slotHeaderSize, slotHeaderSize+len(record))
	binary.LittleEndian.PutUint32(slot[slotLengthAt:], uint32(len(record)))
	binary.LittleEndian.PutUint64(slot[slotNumberAt:], number)
	slot = append(slot, record...)
	checksum := crc32.Checksum(slot[slotLengthAt:], slotChecksumTable)
	binary.LittleEndian.PutUint32(slot[slotChecksumAt:], checksum)
	return slot
}

// decodeSlot ignores what an older, longer record has left behind the newer one.
func decodeSlot(content []byte) (record []byte, number uint64, isWhole bool) {
	if len(content) < slotHeaderSize {
		return nil, 0, false
	}
	length := uint64(binary.LittleEndian.Uint32(content[slotLengthAt:]))
	if uint64(len(content)) < slotHeaderSize+length {
		return nil, 0, false
	}
	slot := content[:slotHeaderSize+length]
	checksum := binary.LittleEndian.Uint32(slot[slotChecksumAt:])
	if checksum != crc32.Checksum(slot[slotLengthAt:], slotChecksumTable) {
		return nil, 0, false
	}
	return slot[slotHeaderSize:], binary.LittleEndian.Uint64(slot[slotNumberAt:]), true
}

// readSynced syncs first: a process that was killed may have left a save that the disk does not hold yet.
func readSynced(file *os.File) ([]byte, error) {
	if err := file.Sync(); err != nil {
		return nil, err
	}
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return nil, err
	}
	return io.ReadAll(file)
}

// syncFolder makes the names of new files last.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open the folder of the record")
	}
	defer folder.Close()
	return errors.Wrap(folder.Sync(), "sync the folder of the record")
}
