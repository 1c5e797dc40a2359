package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/parquet-go/parquet-go"

	"bramblespur/internal/wire"
)

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
		return nil, fmt.Errorf("%w: %d of %d", ErrNewerLayout, m.Layout, Layout)
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

// Read reads a snapshot and verifies it. Damaged sections are named in the contents, with
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

// verifyFile compares the size and checksum of a file with the manifest.
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
