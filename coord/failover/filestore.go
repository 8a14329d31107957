package failover

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Layout of a slot: checksum of all bytes that follow it, length of the record, number of the save, record.
const (
	slotChecksumAt = 0
	slotLengthAt   = 4
	slotNumberAt   = 8
	slotHeaderSize = 16
	slotCount      = 2
)

var slotChecksumTable = crc32.MakeTable(crc32.Castagnoli)

// FileStore is a Storage that alternates between two files. Each save overwrites the older file and syncs it, so a crash
// during a save leaves the newer file intact.
type FileStore struct {
	files      [slotCount]*os.File
	lastNumber uint64 // number of the newest save; its slot is lastNumber % slotCount
}

// OpenFileStore opens the files name.0 and name.1 in an existing directory, and creates them if they are missing.
func OpenFileStore(directory, name string) (*FileStore, error) {
	store := &FileStore{}
	for position := range store.files {
		path := filepath.Join(directory, name+"."+string(rune('0'+position)))
		file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
		if err != nil {
			store.Close()
			return nil, errors.Wrap(err, "open record file")
		}
		store.files[position] = file
	}
	if err := syncDirectory(directory); err != nil {
		store.Close()
		return nil, err
	}
	return store, nil
}

// Load returns the newest saved record, or nothing if no record was ever saved. It returns a CorruptRecordError if both
// files have contents that can't be decoded.
func (store *FileStore) Load() ([]byte, error) {
	var newest []byte
	corruptSlots := 0
	for _, file := range store.files {
		content, err := readSynced(file)
		if err != nil {
			return nil, errors.Wrap(err, "read record file")
		}
		record, number, isValid := decodeSlot(content)
		if !isValid && len(content) > 0 {
			corruptSlots++
		}
		if isValid && number > store.lastNumber {
			store.lastNumber = number
			newest = record
		}
	}
	if corruptSlots == slotCount {
		return nil, CorruptRecordError{Reason: "neither file is whole"}
	}
	return newest, nil
}

// Save overwrites the older record and syncs it.
func (store *FileStore) Save(record []byte) error {
	number := store.lastNumber + 1
	file := store.files[number%slotCount]
	if _, err := file.WriteAt(encodeSlot(record, number), 0); err != nil {
		return errors.Wrap(err, "write record")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync record")
	}
	store.lastNumber = number
	return nil
}

// Close closes both files and returns the first error.
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

// decodeSlot returns the record of a slot. It ignores trailing bytes of an older, longer record.
func decodeSlot(content []byte) (record []byte, number uint64, isValid bool) {
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

// readSynced syncs the file before reading it: a process that was killed may have left a save that isn't on disk yet, and
// it must not be used until it is durable.
func readSynced(file *os.File) ([]byte, error) {
	if err := file.Sync(); err != nil {
		return nil, err
	}
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return nil, err
	}
	return io.ReadAll(file)
}

// syncDirectory makes the directory entries of new files durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open record directory")
	}
	defer directory.Close()
	return errors.Wrap(directory.Sync(), "sync record directory")
}
