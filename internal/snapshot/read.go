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

// maxManifestBytes is the size up to which a manifest is read. A larger one is reported as damaged.
const maxManifestBytes = 1 << 20

// ReadManifest reads the manifest of the snapshot of a name. It returns an error that wraps ErrUnknown
// if there is no such snapshot and ErrNewerLayout if a later version has written it, and a *DamageError
// if the manifest is malformed or incomplete.
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
	b, err := io.ReadAll(io.LimitReader(file, maxManifestBytes))
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
		return nil, &DamageError{ManifestSection, errors.New("the layout, cluster, revision or sections are missing")}
	}
	return &m, nil
}

// Contents holds the records of a snapshot.
type Contents struct {
	Manifest *Manifest
	Records  map[string]wire.Entry // of all sections that are not damaged, by key
	// Damaged names the sections that are damaged. None of their records is in Records.
	Damaged []*DamageError
}

// Read reads a snapshot and verifies sizes, checksums and values. Damaged sections are named in the
// contents, which then have the records of the others. The errors are those of ReadManifest.
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

// maxSectionBytes is the size of the largest section that is read, that of a store of some million
// records. A larger one is reported as damaged.
const maxSectionBytes = 4 << 30

// readSection reads and verifies the file of a section in the directory of a snapshot.
func readSection(dir string, sec Section) ([]wire.Entry, error) {
	if sec.File != filepath.Base(sec.File) {
		return nil, fmt.Errorf("file %q is outside the snapshot's directory", sec.File)
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

// verifyFile returns an error if the size or checksum of a file differs from the manifest, or if the
// file is too large.
func verifyFile(file *os.File, sec Section) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.Size() != sec.Bytes || sec.Bytes > maxSectionBytes {
		return fmt.Errorf("%d bytes, want %d", info.Size(), sec.Bytes)
	}
	sum := sha256.New()
	if _, err := io.Copy(sum, file); err != nil {
		return err
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != sec.SHA256 {
		return errors.New("the checksum differs from the manifest")
	}
	return nil
}

// decodeSection returns the records in the file of a section, and an error if their number differs from
// the manifest or a value is not JSON.
func decodeSection(file *os.File, sec Section) ([]wire.Entry, error) {
	table, err := parquet.OpenFile(file, sec.Bytes)
	if err != nil {
		return nil, err
	}
	if n := table.NumRows(); n != int64(sec.Records) {
		return nil, fmt.Errorf("%d records, want %d", n, sec.Records)
	}
	reader := parquet.NewGenericReader[row](table)
	defer reader.Close()
	rows := make([]row, sec.Records)
	for n := 0; n < len(rows); {
		got, err := reader.Read(rows[n:])
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
