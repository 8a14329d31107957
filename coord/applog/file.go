package applog

import (
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644

	// rewriteSuffix marks a file that a rewrite has not finished.
	rewriteSuffix = ".rewrite"
)

// dataFile is the part of a file that the log uses.
type dataFile interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	// SyncData returns when what was written is on the disk.
	SyncData() error
}

// diskFile is a dataFile of the operating system.
type diskFile struct{ *os.File }

// SyncData implements dataFile.
func (f diskFile) SyncData() error {
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if err != unix.EINTR {
			return err
		}
	}
}

// openFile opens the file of a log, or creates it so that it lasts.
func openFile(directory, name string) (dataFile, int64, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, 0, errors.Wrap(err, "create the folder of the log")
	}
	path := filepath.Join(directory, name)
	if err := os.Remove(path + rewriteSuffix); err != nil && !os.IsNotExist(err) {
		return nil, 0, errors.Wrap(err, "remove an unfinished rewrite of the log")
	}
	_, err := os.Stat(path)
	created := os.IsNotExist(err)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, 0, errors.Wrap(err, "open the log")
	}
	size, err := prepareFile(file, directory, created)
	if err != nil {
		_ = file.Close()
		return nil, 0, err
	}
	return diskFile{file}, size, nil
}

// prepareFile makes a new file last, and returns the size of the file. The folder is synced in any case: a
// process that was killed during a rewrite may have renamed the file without a sync.
func prepareFile(file *os.File, directory string, created bool) (int64, error) {
	if created {
		if err := file.Sync(); err != nil {
			return 0, errors.Wrap(err, "sync the new log")
		}
	}
	if err := syncDirectory(directory); err != nil {
		return 0, err
	}
	info, err := file.Stat()
	if err != nil {
		return 0, errors.Wrap(err, "read the size of the log")
	}
	return info.Size(), nil
}

// syncDirectory makes the names of files in a folder last.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open the folder of the log")
	}
	defer directory.Close()
	return errors.Wrap(directory.Sync(), "sync the folder of the log")
}

// isNoSpace reports whether a write failed because the disk or the file has no more space.
func isNoSpace(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) || errors.Is(err, unix.EFBIG)
}
