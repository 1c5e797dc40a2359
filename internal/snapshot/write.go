package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/parquet-go/parquet-go"
)

// row is the row of one record in the file of a section.
type row struct {
	Key     string `parquet:"key"`
	Value   []byte `parquet:"value"`
	Version uint64 `parquet:"version"`
	Lease   uint64 `parquet:"lease"`
}

const (
	manifestName = "manifest.json"
	// writingName is the directory in which the files of a snapshot are written before it gets its name.
	writingName = ".writing"
)

// sectionFile is an open file to which a section or a manifest is written.
type sectionFile interface {
	io.Writer
	Sync() error // returns once the content is on disk
	Close() error
}

// createSection creates a file, which must not exist.
func createSection(path string) (sectionFile, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
}

// write writes all files to a temporary directory and then renames it to the snapshot's name. It adds the
// sections to the manifest. After an error it deletes the temporary directory.
func (t *Taker) write(m *Manifest, sections []*section) (err error) {
	create := t.createFile
	if create == nil {
		create = createSection
	}
	writing := filepath.Join(t.Directory, writingName)
	if err := os.RemoveAll(writing); err != nil {
		return err
	}
	if err := os.Mkdir(writing, 0o750); err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, os.RemoveAll(writing))
		}
	}()
	for _, sec := range sections {
		written, err := writeSection(create, writing, sec)
		if err != nil {
			return fmt.Errorf("write section %s: %w", sec.prefix, err)
		}
		m.Sections = append(m.Sections, written)
	}
	if err := writeManifest(create, writing, m); err != nil {
		return fmt.Errorf("write manifest: %w", err)
	}
	final := filepath.Join(t.Directory, m.Name())
	if _, err := os.Lstat(final); err == nil {
		return fmt.Errorf("%w: %s", ErrExists, m.Name())
	}
	if err := syncDirectory(writing); err != nil {
		return err
	}
	if err := os.Rename(writing, final); err != nil {
		return err
	}
	return syncDirectory(t.Directory)
}

// countingWriter counts the bytes that are written to its Writer.
type countingWriter struct {
	io.Writer
	n int64 // bytes written
}

// Write implements io.Writer.
func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.n += int64(n)
	return n, err
}

// writeSection writes the file of a section, with the records sorted by key, and returns its description
// for the manifest.
func writeSection(create func(string) (sectionFile, error), dir string, sec *section) (Section, error) {
	out := Section{Prefix: sec.prefix, File: sectionName(sec.prefix) + ".parquet", Records: len(sec.entries)}
	file, err := create(filepath.Join(dir, out.File))
	if err != nil {
		return out, err
	}
	sum := sha256.New()
	to := &countingWriter{Writer: io.MultiWriter(file, sum)}
	w := parquet.NewGenericWriter[row](to, parquet.Compression(&parquet.Zstd))
	for _, key := range slices.Sorted(maps.Keys(sec.entries)) {
		e := sec.entries[key]
		if _, err := w.Write([]row{{Key: key, Value: e.Value, Version: e.Version, Lease: e.Lease}}); err != nil {
			return out, errors.Join(err, file.Close())
		}
	}
	err = w.Close()
	if err == nil {
		err = file.Sync()
	}
	out.Bytes, out.SHA256 = to.n, hex.EncodeToString(sum.Sum(nil))
	return out, errors.Join(err, file.Close())
}

func writeManifest(create func(string) (sectionFile, error), dir string, m *Manifest) error {
	b, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return err
	}
	file, err := create(filepath.Join(dir, manifestName))
	if err != nil {
		return err
	}
	_, err = file.Write(append(b, '\n'))
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// syncDirectory returns once the entries of a directory are on disk.
func syncDirectory(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
