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

	"bramblespur/internal/wire"
)

// row is a record as a section's file has it.
type row struct {
	Key     string `parquet:"key"`
	Value   []byte `parquet:"value"`
	Version uint64 `parquet:"version"`
	Lease   uint64 `parquet:"lease"`
}

const (
	manifestName = "manifest.json"
	// writingName is the directory of a snapshot whose files are being written.
	writingName = ".writing"
)

// sectionFile is what a section is written to.
type sectionFile interface {
	io.Writer
	Sync() error
	Close() error
}

func createSection(path string) (sectionFile, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
}

// write writes all files and then gives the snapshot its name. Nothing is left of it if that
// fails.
func (t *Taker) write(m *Manifest, sections []*section) (err error) {
	create := t.writer
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
	whole := filepath.Join(t.Directory, m.Name())
	if _, err := os.Lstat(whole); err == nil {
		return fmt.Errorf("%w: %s", ErrExists, m.Name())
	}
	if err := syncDirectory(writing); err != nil {
		return err
	}
	if err := os.Rename(writing, whole); err != nil {
		return err
	}
	return syncDirectory(t.Directory)
}

// countingWriter passes on what is written, and counts and sums it.
type countingWriter struct {
	io.Writer
	n int64
}

// Write implements io.Writer.
func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.n += int64(n)
	return n, err
}

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

func syncDirectory(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// maxManifest is the size of the largest manifest that is read.
const maxManifest = 1 << 20

// ReadManifest reads the manifest of a snapshot.
func ReadManifest(directory, name string) (*Manifest, error) {
	if name != filepath.Base(name) || name == "" || name[0] == '.' {
		return nil, fmt.Errorf("%w: %q", ErrUnknown, name)
	}
	file, err := os.Open(filepath.Join(directory, name, manifestName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%w: %s", ErrUnknown, name)
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	b, err := io.ReadAll(io.LimitReader(file, maxManifest))
	if err != nil {
		return nil, &DamageError{ManifestSection, err}
	}
	var m Manifest
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, &DamageError{ManifestSection, err}
	}
	if m.Layout > Layout {
		return nil, fmt.Errorf("%w: %d of %d", ErrNewer, m.Layout, Layout)
	}
	if m.Layout < 1 || m.Cluster == "" || m.Revision == 0 || len(m.Sections) == 0 {
		return nil, &DamageError{ManifestSection, errors.New("it lacks its layout, cluster, revision or sections")}
	}
	return &m, nil
}

// Contents are the records that a snapshot holds.
type Contents struct {
	Manifest *Manifest
	Records  map[string]wire.Entry
	// Damaged are the sections whose records are missing.
	Damaged []*DamageError
}

// Read reads a snapshot and checks all of it. Damaged sections are told in the contents, with
// what is left of the others.
func Read(directory, name string) (*Contents, error) {
	m, err := ReadManifest(directory, name)
	if err != nil {
		return nil, err
	}
	out := &Contents{Manifest: m, Records: map[string]wire.Entry{}}
	for _, sec := range m.Sections {
		entries, err := readSection(filepath.Join(directory, name), sec)
		if err != nil {
			out.Damaged = append(out.Damaged, &DamageError{sec.Prefix, err})
			continue
		}
		for _, e := range entries {
			out.Records[e.Key] = e
		}
	}
	return out, nil
}

// maxSection is the size of the largest section that is read: as large as a store of some
// million records.
const maxSection = 4 << 30

func readSection(dir string, sec Section) ([]wire.Entry, error) {
	if sec.File != filepath.Base(sec.File) {
		return nil, fmt.Errorf("file %q is not in the snapshot", sec.File)
	}
	file, err := os.Open(filepath.Join(dir, sec.File))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	if err := verifyFile(file, sec); err != nil {
		return nil, err
	}
	return decodeSection(file, sec)
}

// verifyFile compares a file with what the manifest says of it.
func verifyFile(file *os.File, sec Section) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.Size() != sec.Bytes || sec.Bytes > maxSection {
		return fmt.Errorf("%d bytes, want %d", info.Size(), sec.Bytes)
	}
	sum := sha256.New()
	if _, err := io.Copy(sum, file); err != nil {
		return err
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != sec.SHA256 {
		return errors.New("the checksum does not match")
	}
	return nil
}

func decodeSection(file *os.File, sec Section) ([]wire.Entry, error) {
	columns, err := parquet.OpenFile(file, sec.Bytes)
	if err != nil {
		return nil, err
	}
	if n := columns.NumRows(); n != int64(sec.Records) {
		return nil, fmt.Errorf("%d records, want %d", n, sec.Records)
	}
	r := parquet.NewGenericReader[row](columns)
	defer r.Close()
	rows := make([]row, sec.Records)
	for n := 0; n < len(rows); {
		got, err := r.Read(rows[n:])
		n += got
		if n < len(rows) && err != nil {
			return nil, err
		}
	}
	out := make([]wire.Entry, 0, len(rows))
	for _, r := range rows {
		if !json.Valid(r.Value) {
			return nil, fmt.Errorf("the value of %s is not JSON", r.Key)
		}
		out = append(out, wire.Entry{Key: r.Key, Value: r.Value, Version: r.Version, Lease: r.Lease})
	}
	return out, nil
}
