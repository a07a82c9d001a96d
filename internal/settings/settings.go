// Package settings reads and validates the daemon's settings, a JSON file. All faults of a
// file are reported in one error, and unknown fields are rejected.
package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"dogwoodpond/internal/fault"
)

// Daemon holds the settings of one dogwoodpondd process. An address is an IP address with a
// port. With port 0 the system chooses the port, and an event reports the bound address.
type Daemon struct {
	// VM names this VM; unique in the fleet.
	VM string `json:"vm" validate:"required,max=64"`
	// FailureDomain names the failure domain of the VM.
	FailureDomain string `json:"failureDomain" validate:"required,max=64"`
	// Region names the region of the failure domain.
	Region string `json:"region" validate:"required,max=64"`
	// CallerAddress is the address on which callers' HTTP requests are served.
	CallerAddress string `json:"callerAddress" validate:"required,tcp_addr"`
	// OperatorAddress is the address on which operators' HTTP requests are served.
	OperatorAddress string `json:"operatorAddress" validate:"required,tcp_addr"`
	// PeerAddress is the address on which drpc calls of the other VMs are served.
	PeerAddress string `json:"peerAddress" validate:"required,tcp_addr"`
	// PlatformURL is the base URL of the platform's HTTP interfaces.
	PlatformURL string `json:"platformUrl" validate:"required,http_url"`
	// OperatorTokenSHA256 is the hex SHA-256 of the operators' credential.
	OperatorTokenSHA256 string `json:"operatorTokenSha256" validate:"required,hexadecimal,len=64"`
	// Seeds are the addresses of peers that are asked for the configuration while
	// the store is unavailable and the VM list can't be read.
	Seeds []string `json:"seeds" validate:"dive,tcp_addr"`

	// LeaseTermMillis is the term of every lease. Default 10000.
	LeaseTermMillis int `json:"leaseTermMillis" validate:"min=100,max=120000"`
	// DigestPeriodMillis is the interval of the exchange of digests with a peer. Default 1000.
	DigestPeriodMillis int `json:"digestPeriodMillis" validate:"min=20,max=60000"`
	// RevisionPollMillis is the shortest interval between polls of the
	// configuration's revision. Default 1000.
	RevisionPollMillis int `json:"revisionPollMillis" validate:"min=20,max=60000"`
	// UsageWindowSeconds is the length of a usage window. Default 300.
	UsageWindowSeconds int `json:"usageWindowSeconds" validate:"min=1,max=86400"`
	// UsageFlushMillis is the shortest flush interval of usage totals. Default 1000.
	UsageFlushMillis int `json:"usageFlushMillis" validate:"min=20,max=60000"`
	// OrderTimeoutMillis is the timeout of one order to an engine. A VM that takes
	// over a failure domain waits at least as long before its first order. Default 10000.
	OrderTimeoutMillis int `json:"orderTimeoutMillis" validate:"min=100,max=60000"`
	// WeightLoadsPerSecond is the maximum number of weight loads that start in a
	// failure domain per second. It limits the load on the weight store. Default 20.
	WeightLoadsPerSecond float64 `json:"weightLoadsPerSecond" validate:"gt=0,max=10000"`
	// DrainSeconds is the timeout of a graceful shutdown. An order or usage report that is in
	// flight then may take the rest of its own timeout. Default 600.
	DrainSeconds int `json:"drainSeconds" validate:"min=1,max=7200"`
	// EventCapacity is the number of latest events that the ring buffer holds for
	// the timeline. Default 4096.
	EventCapacity int `json:"eventCapacity" validate:"min=64,max=1000000"`
	// LogLevel is the lowest level that is logged. Default "info".
	LogLevel string `json:"logLevel" validate:"oneof=debug info warn error"`
	// DispatchPolicy chooses how work is dispatched: "fair" shares the engines
	// between accounts and VMs. The others are for measurements only: "queue"
	// ignores the VMs' quotas of the engines' slots, "fifo" is round robin in the
	// order of arrival. Default "fair".
	DispatchPolicy string `json:"dispatchPolicy" validate:"oneof=fair queue fifo"`
}

// The values of DispatchPolicy.
const (
	PolicyFair  = "fair"
	PolicyQueue = "queue"
	PolicyFIFO  = "fifo"
)

// Default returns the default settings. Fields that a file does not contain keep these values.
func Default() Daemon {
	return Daemon{
		LeaseTermMillis:      10_000,
		DigestPeriodMillis:   1_000,
		RevisionPollMillis:   1_000,
		UsageWindowSeconds:   300,
		UsageFlushMillis:     1_000,
		OrderTimeoutMillis:   10_000,
		WeightLoadsPerSecond: 20,
		DrainSeconds:         600,
		EventCapacity:        4096,
		LogLevel:             "info",
		DispatchPolicy:       PolicyFair,
	}
}

// LeaseTerm returns the term of every lease.
func (d Daemon) LeaseTerm() time.Duration { return millis(d.LeaseTermMillis) }

// DigestInterval returns the interval of the exchange of digests with a peer.
func (d Daemon) DigestInterval() time.Duration { return millis(d.DigestPeriodMillis) }

// RevisionPollInterval returns the shortest interval between polls of the configuration's revision.
func (d Daemon) RevisionPollInterval() time.Duration { return millis(d.RevisionPollMillis) }

// UsageFlushInterval returns the shortest flush interval of usage totals.
func (d Daemon) UsageFlushInterval() time.Duration { return millis(d.UsageFlushMillis) }

// UsageWindow returns the length of a usage window.
func (d Daemon) UsageWindow() time.Duration { return time.Duration(d.UsageWindowSeconds) * time.Second }

// OrderTimeout returns the timeout of one order to an engine.
func (d Daemon) OrderTimeout() time.Duration { return millis(d.OrderTimeoutMillis) }

// DrainTimeout returns the timeout of a graceful shutdown.
func (d Daemon) DrainTimeout() time.Duration { return time.Duration(d.DrainSeconds) * time.Second }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Load reads and validates the settings file at path. The error is a *fault.SettingsInvalid
// that lists every fault.
func Load(path string) (Daemon, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Daemon{}, errors.WithStack(oneFault("file", path, "a readable file"))
	}
	return Parse(text)
}

// Parse parses and validates the text of a settings file. The error is a
// *fault.SettingsInvalid that lists every fault: unknown fields, values of the wrong type
// and values that are not allowed.
func Parse(text []byte) (Daemon, error) {
	d := Default()
	faults, err := decode(text, &d)
	if err != nil {
		return Daemon{}, err
	}
	failure := &fault.SettingsInvalid{Faults: faults}
	for _, f := range check(d) {
		if !failure.Contains(f.Field) {
			failure.Faults = append(failure.Faults, f)
		}
	}
	if len(failure.Faults) > 0 {
		return Daemon{}, errors.WithStack(failure)
	}
	return d, nil
}

// decode decodes each field separately, so that a fault in one does not hide the faults of
// the others. It fails only if the text is not one JSON object.
func decode(text []byte, into *Daemon) ([]fault.SettingFault, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(text, &fields); err != nil || fields == nil {
		return nil, errors.WithStack(oneFault("file", problemOf(err), "one JSON object"))
	}
	var faults []fault.SettingFault
	known := fieldTypes()
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value := fields[name]
		wantType, ok := known[name]
		if !ok {
			faults = append(faults, fault.SettingFault{Field: name, Value: truncate(value), Allowed: "no such setting"})
			continue
		}
		single, _ := json.Marshal(map[string]json.RawMessage{name: value})
		if string(value) == "null" || json.Unmarshal(single, into) != nil {
			faults = append(faults, fault.SettingFault{Field: name, Value: truncate(value), Allowed: wantType})
		}
	}
	return faults, nil
}

// problemOf returns the text of a decoding error, or "null" for a file with the JSON value
// null, which decodes without an error.
func problemOf(err error) string {
	if err == nil {
		return "null"
	}
	return err.Error()
}

// truncate shortens a long value, so that an error message stays readable.
func truncate(value json.RawMessage) string {
	const maxBytes = 80
	if len(value) > maxBytes {
		return string(value[:maxBytes]) + "..."
	}
	return string(value)
}

// fieldTypes returns the description of each setting's type, by the name of the setting.
func fieldTypes() map[string]string {
	known := map[string]string{}
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Daemon]()) {
		known[jsonName(f)] = describeType(f.Type)
	}
	return known
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// describeType returns the text for a setting's type, in errors and on the settings page.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int:
		return "a whole number"
	case reflect.Slice:
		return "a list of texts"
	default:
		return "a text"
	}
}

// oneFault returns an error with a single fault.
func oneFault(field, value, allowed string) *fault.SettingsInvalid {
	return &fault.SettingsInvalid{Faults: []fault.SettingFault{{Field: field, Value: value, Allowed: allowed}}}
}

// check returns a fault for every value that is not allowed.
func check(d Daemon) []fault.SettingFault {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	var violations validator.ValidationErrors
	if err := v.Struct(d); !errors.As(err, &violations) {
		return nil
	}
	var faults []fault.SettingFault
	for _, violation := range violations {
		_, field, _ := strings.Cut(violation.Namespace(), ".")
		faults = append(faults, fault.SettingFault{
			Field:   field,
			Value:   fmt.Sprint(violation.Value()),
			Allowed: DescribeRule(violation.Tag(), violation.Param()),
		})
	}
	return faults
}

// ruleDescriptions holds the descriptions of validation rules by tag; %s is the parameter.
var ruleDescriptions = map[string]string{
	"required":    "a value",
	"min":         "at least %s",
	"max":         "at most %s",
	"len":         "exactly %s characters",
	"oneof":       "one of %s",
	"tcp_addr":    "an IP number with a port",
	"http_url":    "an HTTP URL",
	"hexadecimal": "hexadecimal digits",
}

// DescribeRule describes the values that a validation rule allows.
func DescribeRule(tag, parameter string) string {
	text, ok := ruleDescriptions[tag]
	if !ok {
		return strings.TrimSpace(tag + " " + parameter)
	}
	if !strings.Contains(text, "%s") {
		return text
	}
	return fmt.Sprintf(text, parameter)
}
