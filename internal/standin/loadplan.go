package standin

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
)

// LoadPlan is what the load generator sends.
type LoadPlan struct {
	Accounts []LoadAccount `json:"accounts"`
	// Seconds is how long requests are sent.
	Seconds float64 `json:"seconds"`
	// Faults tells when faults were brought about, to measure the recovery.
	Faults []LoadFault `json:"faults,omitempty"`
	// Seed makes the arrivals and sizes repeatable.
	Seed uint64 `json:"seed"`
}

// LoadAccount is the traffic of one client account. Arrivals are an open loop:
// they don't wait for answers, as real callers of many don't.
type LoadAccount struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Share is the contract's share, for the figures.
	Share int `json:"share"`
	// Rate is the mean number of requests a second, with exponential gaps.
	Rate float64 `json:"rate"`
	// Entries limits the account to the first so many entries; 0 means all.
	Entries int `json:"entries,omitempty"`
	// MaxTokens is the median bound of an answer, Sigma the spread of its
	// logarithm.
	MaxTokens int     `json:"maxTokens"`
	Sigma     float64 `json:"sigma"`
	// Groups is how many prompts the account has; a few are asked far more often
	// than the others.
	Groups int `json:"groups"`
	// PromptWords is the length of a prompt.
	PromptWords int `json:"promptWords"`
}

// LoadFault is a fault that a script brings about during the load.
type LoadFault struct {
	Name string `json:"name"`
	// AtSeconds is when, counted from the start of the load.
	AtSeconds float64 `json:"atSeconds"`
	// Keeps is the part of the engines' slots that is left, in percent of those
	// before the first fault.
	Keeps float64 `json:"keeps"`
}

func readLoadPlan(path string) (LoadPlan, error) {
	var plan LoadPlan
	text, err := os.ReadFile(path)
	if err != nil || json.Unmarshal(text, &plan) != nil {
		return plan, errors.WithStack(&fault.BadRequest{Field: "plan", Problem: "must be a file with a load plan in JSON"})
	}
	return plan, nil
}

const (
	maxLoadTokens = 1024
	minLoadTokens = 8
	// groupSkew is the exponent of the groups' popularity.
	groupSkew = 1.3
)

// loadRequest is one request of the plan.
type loadRequest struct {
	after     time.Duration
	group     int
	prompt    string
	seed      int64
	maxTokens int
}

// draw makes the requests of an account, in the order of their arrival.
func (a LoadAccount) draw(span time.Duration, seed uint64) []loadRequest {
	random := rand.New(rand.NewPCG(seed, uint64(len(a.Name))<<32+uint64(a.Name[0])))
	popular := rand.NewZipf(random, groupSkew, 1, uint64(max(1, a.Groups)-1))
	var list []loadRequest
	for at := 0.0; ; {
		at += random.ExpFloat64() / a.Rate
		after := time.Duration(at * float64(time.Second))
		if after >= span {
			return list
		}
		group := int(popular.Uint64())
		size := float64(a.MaxTokens) * math.Exp(a.Sigma*random.NormFloat64())
		list = append(list, loadRequest{
			after:     after,
			group:     group,
			prompt:    a.prompt(group),
			seed:      random.Int64(),
			maxTokens: int(min(maxLoadTokens, max(minLoadTokens, size))),
		})
	}
}

func (a LoadAccount) prompt(group int) string {
	words := make([]string, max(1, a.PromptWords))
	for i := range words {
		words[i] = fmt.Sprintf("w%d", i)
	}
	return fmt.Sprintf("%s %d %s", a.Name, group, strings.Join(words, " "))
}
