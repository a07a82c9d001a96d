package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"dogwoodpond/internal/route"
)

// Difference is a field of an entry that differs between two configurations.
type Difference struct {
	// Change is "added" or "removed" for a field of an entry that only one of the
	// configurations has, and "changed" for the others.
	Change string `json:"change"`
	// Path is the section, the name of the entry, and the field.
	Path string `json:"path"`
	// Before and After are the values. For keys they are counts.
	Before string `json:"before"`
	After  string `json:"after"`
	// Effect says from when the difference counts.
	Effect string `json:"effect"`
}

// The values of Difference.Change.
const (
	added   = "added"
	removed = "removed"
	changed = "changed"
)

// The values of Difference.Effect.
const (
	// EffectAtOnce is the effect on all requests that arrive when the version is in force.
	EffectAtOnce = "at once"
	// EffectNewSteps is the effect on new steps only: a step retains the value that was in force
	// at its submission.
	EffectNewSteps = "new steps"
)

// field is a field of an entry with its value as text; the text of a default is empty.
type field struct {
	name, value string
	newSteps    bool
	// keys are the keys of a client account; they are compared, but never shown.
	keys []string
}

// entry is a route, service or client account, or one of the sections without entries.
type entry struct {
	section, name string
	// ordinal distinguishes entries of the same name; it is 1 for the first.
	ordinal int
	fields  []field
}

// Diff returns the differences of a configuration from the one in force, in the order of
// sections and names. Entries are the same if they have the same name.
func Diff(inForce, c Configuration) []Difference {
	before, after := entriesOf(inForce.Snapshot), entriesOf(c.Snapshot)
	var out []Difference
	for _, b := range before {
		if find(after, b) == nil {
			out = append(out, c.diffEntry(removed, b, entry{fields: blank(b)})...)
		}
	}
	for _, a := range after {
		if b := find(before, a); b != nil {
			out = append(out, c.diffEntry(changed, *b, a)...)
		} else {
			out = append(out, c.diffEntry(added, entry{fields: blank(a)}, a)...)
		}
	}
	return out
}

func find(entries []entry, e entry) *entry {
	i := slices.IndexFunc(entries, func(x entry) bool { return x.section == e.section && x.name == e.name && x.ordinal == e.ordinal })
	if i < 0 {
		return nil
	}
	return &entries[i]
}

// blank returns the fields of an entry without values.
func blank(e entry) []field {
	fields := make([]field, len(e.fields))
	for i, f := range e.fields {
		fields[i] = field{name: f.name, newSteps: f.newSteps}
	}
	return fields
}

// diffEntry compares two entries with the same fields. An added or removed entry has at least
// one difference, that of its name.
func (c Configuration) diffEntry(change string, before, after entry) []Difference {
	named := before
	if change == added {
		named = after
	}
	at := c.wireName(named.section)
	if named.ordinal > 0 {
		at += "[" + named.name + "]"
	}
	if named.ordinal > 1 {
		at += "#" + strconv.Itoa(named.ordinal)
	}
	var out []Difference
	switch change {
	case added:
		out = append(out, Difference{Change: change, Path: at, After: named.name, Effect: EffectAtOnce})
	case removed:
		out = append(out, Difference{Change: change, Path: at, Before: named.name, Effect: EffectAtOnce})
	}
	for i, b := range before.fields {
		a := after.fields[i]
		plus, minus := countMissing(a.keys, b.keys), countMissing(b.keys, a.keys)
		if a.value == b.value && plus+minus == 0 || change != changed && isDefault(a) && isDefault(b) {
			continue
		}
		d := Difference{Change: change, Path: at, Before: b.value, After: a.value, Effect: EffectAtOnce}
		if b.name != "" {
			d.Path += "." + c.wireName(b.name)
		}
		if change == changed && plus+minus > 0 {
			d.After += fmt.Sprintf(" (%d added, %d removed)", plus, minus)
		}
		if a.newSteps && b.newSteps {
			d.Effect = EffectNewSteps
		}
		out = append(out, d)
	}
	return out
}

func isDefault(f field) bool { return f.value == "" || f.value == "0" }

// countMissing returns how many of the keys are not among others.
func countMissing(keys, others []string) (n int) {
	known := make(map[string]bool, len(others))
	for _, key := range others {
		known[key] = true
	}
	for _, key := range keys {
		if !known[key] {
			n++
		}
	}
	return n
}

// entriesOf returns the entries of a snapshot.
func entriesOf(s *route.Snapshot) []entry {
	entries := []entry{{section: "version", fields: []field{{value: strconv.FormatInt(s.Version, 10)}}}}
	type identity struct{ section, name string }
	ordinals := map[identity]int{}
	add := func(section, name string, fields []field) {
		ordinals[identity{section, name}]++
		entries = append(entries, entry{section, name, ordinals[identity{section, name}], fields})
	}
	for _, r := range s.Routes() {
		add("routes", r.Name, routeFields(r))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		add("services", name, serviceFields(s.Services[name]))
	}
	entries = append(entries, entry{section: "limits", fields: []field{
		number("headerBytes", s.Limits.HeaderBytes), number("bodyBytes", s.Limits.BodyBytes),
		duration("headerTimeout", s.Limits.HeaderTimeout), duration("idleTimeout", s.Limits.IdleTimeout),
	}})
	keyCheck := "keys are required"
	if !s.HasAccounts {
		keyCheck = "no key is required"
	}
	entries = append(entries, entry{section: "keyCheck", fields: []field{{value: keyCheck}}})
	for _, a := range s.Accounts {
		add("accounts", a.Name, []field{
			{name: "keys", value: strconv.Itoa(len(a.Keys)), keys: a.Keys},
			{name: "priority", value: formatOptional(a.Priority)}, residency(a.Residency),
		})
	}
	return entries
}

func routeFields(r *route.Route) []field {
	shares := make([]string, len(r.Split))
	for i, s := range r.Split {
		shares[i] = fmt.Sprintf("%s:%d", s.Service, s.Weight)
	}
	steps := r.Kind == route.Steps
	ofSteps := func(f field) field {
		f.newSteps = steps
		return f
	}
	return []field{
		{name: "host", value: strings.ToLower(r.Host)}, {name: "prefix", value: r.Prefix}, {name: "kind", value: string(r.Kind)},
		duration("timeout", r.Timeout), duration("objective", r.Objective), number("priority", r.Priority),
		{name: "split", value: strings.Join(shares, ", ")}, ofSteps(number("attempts", r.Attempts)),
		ofSteps(duration("runObjective", r.RunObjective)), ofSteps(duration("abandonAfter", r.AbandonAfter)),
		ofSteps(flag("singleVersion", r.SingleVersion)), flag("anonymous", r.Anonymous), flag("resumable", r.Resumable),
		residency(r.Residency),
	}
}

func serviceFields(s *route.Service) []field {
	engine, scale := s.Engine, s.Scale
	if engine == nil {
		engine = &route.Engine{}
	}
	if scale == nil {
		scale = &route.Scale{}
	}
	prices := make([]string, 0, len(scale.Prices))
	for domain, price := range scale.Prices {
		prices = append(prices, domain+":"+formatFloat(price))
	}
	slices.Sort(prices)
	return []field{
		{name: "healthPath", value: s.HealthPath}, number("connections", s.Connections), duration("warmup", s.Warmup),
		{name: "coldRate", value: formatNonzero(s.ColdRate)}, flag("engine", s.Engine != nil),
		number("slots", engine.Slots), number("kvTokens", engine.KVTokens), {name: "models", value: strings.Join(engine.Models, ", ")},
		flag("scale", s.Scale != nil), number("minimum", scale.Minimum), number("maximum", scale.Maximum), duration("boot", scale.Boot),
		{name: "reclaimablePrice", value: formatNonzero(scale.ReclaimablePrice)}, {name: "prices", value: strings.Join(prices, ", ")},
	}
}

func number(name string, n int) field { return field{name: name, value: strconv.Itoa(n)} }

func duration(name string, d fmt.Stringer) field {
	text := d.String()
	if text == "0s" {
		text = ""
	}
	return field{name: name, value: text}
}

func flag(name string, set bool) field {
	if set {
		return field{name: name, value: "true"}
	}
	return field{name: name}
}

func residency(r route.Residency) field {
	if !r.Limited() {
		return field{name: "residency"}
	}
	return field{name: "residency", value: "[" + strings.Join(r.Domains(), ", ") + "]"}
}

func formatNonzero(f float64) string {
	if f == 0 {
		return ""
	}
	return formatFloat(f)
}
