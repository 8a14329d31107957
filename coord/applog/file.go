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

	// rewriteSuffix is appended to the name of the log for the file that a rewrite is writing. Open removes
	// a file with this suffix, which an interrupted rewrite has left.
	rewriteSuffix = ".rewrite"
)

// dataFile is the interface through which the log uses its file; tests inject faults behind it.
type dataFile interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	// SyncData flushes all written data to the disk. On Linux it is fdatasync.
	SyncData() error
}

// diskFile implements dataFile with a file of the operating system.
type diskFile struct{ *os.File }

func (f diskFile) SyncData() error {
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if err != unix.EINTR {
			return err
		}
	}
}

// openFile opens the file of a log and returns its size in bytes. If the file does not exist, openFile
// creates it and makes it durable. It removes the file of an interrupted rewrite.
func openFile(directory, name string) (dataFile, int64, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, 0, errors.Wrap(err, "create the log directory")
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

// prepareFile makes the file and its directory entry durable and returns the size of the file in bytes. It
// always syncs the directory, because a process that was killed during a rewrite may have renamed the file
// without syncing the directory.
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

// syncDirectory makes the entries of a directory durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open the log directory")
	}
	defer directory.Close()
	return errors.Wrap(directory.Sync(), "sync the log directory")
}

// isNoSpace reports whether a write failed because the disk is full, the quota is exhausted or the file has
// reached its size limit.
func isNoSpace(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) || errors.Is(err, unix.EFBIG)
}
