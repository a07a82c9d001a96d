package node

import (
	"slices"
	"sort"
	"sync"

	"dogwoodpond/internal/route"
	"dogwoodpond/internal/scaling"
	"dogwoodpond/internal/step"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/weightload"
)

// Named holds the versions that trainers have named. It is safe for concurrent
// use.
type Named struct {
	mu       sync.Mutex
	versions map[string]int64
}

// NewNamed returns an empty set.
func NewNamed() *Named { return &Named{versions: make(map[string]int64)} }

// Note takes a named version and reports whether it is newer than the last.
func (n *Named) Note(model string, version int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version <= n.versions[model] {
		return false
	}
	n.versions[model] = version
	return true
}

// Version returns the version named last; ok is false before the first.
func (n *Named) Version(model string) (version int64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	version, ok = n.versions[model]
	return version, ok
}

// Demands tells the loaders what is asked of the models. It implements
// weightload.Demands and scaling.DesiredCounts.
type Demands struct {
	named *Named
	view  *route.View
	steps *step.Manager
	// roster tells where the services run.
	roster *target.Roster
}

// NewDemands returns the demands of the steps that this VM knows.
func NewDemands(named *Named, view *route.View, steps *step.Manager, roster *target.Roster) *Demands {
	return &Demands{named: named, view: view, steps: steps, roster: roster}
}

// EngineServices implements weightload.Demands.
func (d *Demands) EngineServices() []string {
	snapshot := d.view.Load()
	if snapshot == nil {
		return nil
	}
	var names []string
	for name, service := range snapshot.Services {
		if service.Engine != nil && len(service.Engine.Models) > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Models implements weightload.Demands.
func (d *Demands) Models(service string) []weightload.Demand {
	snapshot := d.view.Load()
	if snapshot == nil || snapshot.Services[service] == nil || snapshot.Services[service].Engine == nil {
		return nil
	}
	uses := d.steps.ModelDemands()
	var out []weightload.Demand
	for _, model := range snapshot.Services[service].Engine.Models {
		version, ok := d.named.Version(model)
		if !ok {
			continue
		}
		use := uses[model]
		out = append(out, weightload.Demand{Model: model, AnnouncedVersion: version, MaxVersionLag: slack(version, use), ExpectedTokens: use.ExpectedTokens})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Model < out[j].Model })
	return out
}

// usualSlack is how far behind the named version a step may be when no step of
// the model is known.
const usualSlack = 1

// slack returns how many versions behind the named one the next step may use. The
// latest step may have been asked for under the version before, so the smaller
// distance counts.
func slack(named int64, use step.ModelDemand) int64 {
	if use.Steps == 0 {
		return usualSlack
	}
	return min(max(use.VersionLag, 0), named)
}

// KeepRunning implements weightload.Demands.
func (d *Demands) KeepRunning(model string) bool { return !d.steps.ModelDemands()[model].SingleVersion }

// Upstreams implements scaling.DesiredCounts.
func (d *Demands) Upstreams(domain string) map[string]scaling.KindCounts {
	snapshot := d.view.Load()
	if snapshot == nil {
		return nil
	}
	out := make(map[string]scaling.KindCounts)
	for name, service := range snapshot.Services {
		if service.Engine == nil || service.Scale == nil {
			continue
		}
		domains := d.domainsOf(name, service.Scale)
		if !slices.Contains(domains, domain) {
			continue
		}
		if counts, ok := scaling.Counts(d.needOf(service.Engine), len(domains), service.Scale); ok {
			out[name] = counts
		}
	}
	return out
}

// needOf adds up what the steps of an engine's models ask for.
func (d *Demands) needOf(engine *route.Engine) scaling.Need {
	uses := d.steps.ModelDemands()
	need := scaling.Need{Slots: engine.Slots}
	for _, model := range engine.Models {
		if items := uses[model].MaxItems; items > 0 {
			need.Models++
			need.Items += items
		}
	}
	return need
}

// domainsOf returns the failure domains in which a service runs.
func (d *Demands) domainsOf(service string, scale *route.Scale) []string {
	var domains []string
	for domain := range scale.Prices {
		domains = append(domains, domain)
	}
	for _, e := range d.roster.Upstreams(service) {
		domains = append(domains, e.Info().FailureDomain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}
