// Package configcheck finds problems in a configuration of the platform before it is put
// in force, and lists its differences from another one. It does no I/O and reads no clock.
//
// The severity of a problem follows one rule:
//
//   - An error is what the daemon refuses, or what makes an entry unusable: a route that no
//     request matches or that has no service, a client account or key that authenticates no
//     request, a split that never selects a share, a version that is not put in force.
//   - A warning is what the daemon serves in another way than written (an unknown kind, a
//     negative time, attempts below 1, an unknown field), and what it serves as written but
//     which contradicts another entry (an objective beyond the timeout, a service without a
//     route).
//
// An absent field has its default and is no problem; nor is 0 where it stands for the default.
//
// The reader of the wire format reports what it replaces by a default as it decodes, so the
// rules of decoding are stated once, in the code that the daemon runs. This package judges
// the resulting route.Snapshot. Problems and differences never contain a key of a client
// account; they name the account and the position of the key.
package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"dogwoodpond/internal/route"
)

// Severity says whether a problem is an error or a warning.
type Severity string

// The severities.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Problem is one problem of a configuration.
type Problem struct {
	Severity Severity `json:"severity"`
	// Path is the path of the entry in the file.
	Path string `json:"path"`
	// Value is the value at the path. It is empty if the value is absent or may be secret.
	Value string `json:"value"`
	// Allowed describes the values that are allowed, and what happens with others.
	Allowed string `json:"allowed"`
}

// Configuration is a configuration that was read from a file.
type Configuration struct {
	// Snapshot is what the daemon would put in force. If Refused is true, it contains only the
	// entries that can be read.
	Snapshot *route.Snapshot
	// Refused reports whether the daemon refuses to read the configuration.
	Refused bool
	// Problems are the problems that were found by reading.
	Problems []Problem
	// ServicePositions holds the position of each service in the file.
	ServicePositions map[string]int
	// WireNames maps the names of sections and fields in this package to those in the file. A
	// name that it does not contain is the same in the file.
	WireNames map[string]string
}

// path joins names of sections and fields, and positions in lists, to the path of an entry.
func (c Configuration) path(parts ...any) string {
	var b strings.Builder
	for _, part := range parts {
		switch p := part.(type) {
		case int:
			fmt.Fprintf(&b, "[%d]", p)
		case string:
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(c.wireName(p))
		}
	}
	return b.String()
}

func (c Configuration) wireName(name string) string {
	if wire, ok := c.WireNames[name]; ok {
		return wire
	}
	return name
}

// Check returns all problems of a configuration, errors first. The problems of each severity
// are in the order in which they were found.
func Check(c Configuration) []Problem {
	k := checker{Configuration: c}
	if c.Snapshot != nil {
		k.checkVersion()
		k.checkRoutes()
		k.checkServices()
		k.checkLimits()
		k.checkAccounts()
		k.checkResidency()
	}
	problems := slices.Concat([]Problem{}, c.Problems, slices.DeleteFunc(k.problems, c.isKnownFromReading))
	slices.SortStableFunc(problems, func(x, y Problem) int { return strings.Compare(string(x.Severity), string(y.Severity)) })
	return problems
}

// CheckAgainst returns the problems that a configuration has only beside the one in force.
func CheckAgainst(c, inForce Configuration, differences []Difference) []Problem {
	if c.Refused || inForce.Refused || len(differences) == 0 || c.Snapshot.Version > inForce.Snapshot.Version {
		return nil
	}
	return []Problem{{
		Severity: Error, Path: c.path("version"), Value: fmt.Sprint(c.Snapshot.Version),
		Allowed: fmt.Sprintf("greater than %d, the version in force; VMs ignore any other", inForce.Snapshot.Version),
	}}
}

// isKnownFromReading reports whether a problem is at an entry whose value was replaced in
// reading, or at or below one that could not be read. It is then only a consequence.
func (c Configuration) isKnownFromReading(p Problem) bool {
	return slices.ContainsFunc(c.Problems, func(read Problem) bool {
		rest, ok := strings.CutPrefix(p.Path, read.Path)
		return ok && (rest == "" || c.Refused && read.Severity == Error && (rest[0] == '.' || rest[0] == '['))
	})
}

// checker collects the problems of a configuration.
type checker struct {
	Configuration
	problems []Problem
}

func (k *checker) require(ok bool, severity Severity, path, value, allowed string) {
	if !ok {
		k.problems = append(k.problems, Problem{Severity: severity, Path: path, Value: value, Allowed: allowed})
	}
}

func (k *checker) checkVersion() {
	version := k.Snapshot.Version
	k.require(version > 0, Warning, k.path("version"), fmt.Sprint(version), "1 or greater, and greater than the version in force")
}
