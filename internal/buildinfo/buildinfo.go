// Package buildinfo identifies the build of the running program, so that its output can be
// assigned to a revision of the sources.
package buildinfo

import (
	"bytes"
	"debug/elf"
	"encoding/binary"
	"os"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Unknown is the ID of a program whose build ID can't be read.
const Unknown = "unknown"

// ID returns the content ID that the Go linker stored in the running program, as the last part of
// its build ID. Builds of the same sources with the same toolchain, -trimpath and -buildvcs=false have
// the same ID, wherever they are made; "go tool buildid" prints that of another build.
var ID = sync.OnceValue(func() string {
	path, err := os.Executable()
	if err != nil {
		return Unknown
	}
	id, err := read(path)
	if err != nil {
		return Unknown
	}
	return id
})

// read returns the content ID of a program. It fails if the file is no ELF file with a Go build ID.
func read(path string) (string, error) {
	file, err := elf.Open(path)
	if err != nil {
		return "", errors.Wrap(err, "open program")
	}
	defer func() { _ = file.Close() }()
	section := file.Section(".note.go.buildid")
	if section == nil {
		return "", errors.New("program without Go build ID")
	}
	note, err := section.Data()
	if err != nil {
		return "", errors.Wrap(err, "read build ID")
	}
	return parseNote(note, file.ByteOrder)
}

// noteName is the name of the linker's note, with padding to a multiple of 4 bytes.
var noteName = []byte("Go\x00\x00")

// parseNote returns the content ID in an ELF note: three numbers of 4 bytes, of which the second
// is the length of the build ID, the name, and the build ID.
func parseNote(note []byte, order binary.ByteOrder) (string, error) {
	const numbers = 12
	header := numbers + len(noteName)
	if len(note) < header || !bytes.Equal(note[numbers:header], noteName) {
		return "", errors.New("note of another kind")
	}
	length := order.Uint32(note[4:8])
	if uint64(length) > uint64(len(note)-header) {
		return "", errors.New("truncated build ID")
	}
	id := string(note[header : header+int(length)])
	return id[strings.LastIndexByte(id, '/')+1:], nil
}
