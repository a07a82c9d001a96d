package node

import (
	"math"
	"slices"
	"sort"
	"sync"

	"dogwoodpond/internal/route"
	"dogwoodpond/internal/scaling"
	"dogwoodpond/internal/step"
	"dogwoodpond/internal/target"
	"dogwoodpond/internal/weightload"
)

// AnnouncedVersions holds the newest announced version of each model. It is safe for
// concurrent use.
type AnnouncedVersions struct {
	mu       sync.Mutex
	versions map[string]int64
}

// NewAnnouncedVersions returns an AnnouncedVersions without any versions.
func NewAnnouncedVersions() *AnnouncedVersions {
	return &AnnouncedVersions{versions: make(map[string]int64)}
}

// Update records an announced version and reports whether it is newer than those before.
func (a *AnnouncedVersions) Update(model string, version int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version <= a.versions[model] {
		return false
	}
	a.versions[model] = version
	return true
}

// Version returns the announced version of a model; ok is false if there is none yet.
func (a *AnnouncedVersions) Version(model string) (version int64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	version, ok = a.versions[model]
	return version, ok
}

// Demands derives the demand for models and upstreams from the steps that this VM knows. It
// implements weightload.Demands and scaling.DesiredCounts.
type Demands struct {
	announced *AnnouncedVersions
	view      *route.View
	steps     *step.Manager
	// roster holds the upstreams of the services, with their failure domains.
	roster *target.Roster
}

// NewDemands returns the demands derived from a view and from the steps of a manager.
func NewDemands(announced *AnnouncedVersions, view *route.View, steps *step.Manager, roster *target.Roster) *Demands {
	return &Demands{announced: announced, view: view, steps: steps, roster: roster}
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
	engine := snapshot.Services[service].Engine
	demands := d.steps.ModelDemands()
	var out []weightload.Demand
	for _, model := range engine.Models {
		version, ok := d.announced.Version(model)
		if !ok {
			continue
		}
		demand := demands[model]
		out = append(out, weightload.Demand{
			Model: model, AnnouncedVersion: version, MaxVersionLag: maxVersionLag(version, demand), ExpectedTokens: demand.ExpectedTokens,
			MaxEngines: maxEnginesPerDomain(demand.MaxItems, engine.Slots),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Model < out[j].Model })
	return out
}

// engineHeadroom is how many more slots than items a failure domain has for a step: some of
// its engines are slow, suspect or loading.
const engineHeadroom = 1.25

// maxEnginesPerDomain returns how many engines of one failure domain the steps of a model can
// use, so that a failure domain that is cut off can still run a whole step; 0 if that is not
// known.
func maxEnginesPerDomain(items, slots int) int {
	if items <= 0 || slots <= 0 {
		return 0
	}
	return int(math.Ceil(engineHeadroom * float64(items) / float64(slots)))
}

// defaultMaxVersionLag is the maximum version lag of the next step if no step of the model
// is known.
const defaultMaxVersionLag = 1

// maxVersionLag returns by how many versions the weights that the next step uses may be
// older than the announced version. This is the version lag that the latest step had when it
// was submitted, not its present one, which each later announcement has made larger.
func maxVersionLag(announced int64, demand step.ModelDemand) int64 {
	if demand.Steps == 0 {
		return defaultMaxVersionLag
	}
	return min(max(demand.VersionLag, 0), announced)
}

// AllowsMixedVersions implements weightload.Demands.
func (d *Demands) AllowsMixedVersions(model string) bool {
	return !d.steps.ModelDemands()[model].SingleVersion
}

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

// needOf returns the total need of the steps of an engine's models.
func (d *Demands) needOf(engine *route.Engine) scaling.Need {
	demands := d.steps.ModelDemands()
	need := scaling.Need{Slots: engine.Slots}
	for _, model := range engine.Models {
		if items := demands[model].MaxItems; items > 0 {
			need.Models++
			need.Items += items
		}
	}
	return need
}

// domainsOf returns the failure domains in which a service has upstreams or can order some.
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
