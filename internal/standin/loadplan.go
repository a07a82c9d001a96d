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

// LoadPlan defines the requests that the load generator sends.
type LoadPlan struct {
	Accounts []LoadAccount `json:"accounts"`
	// Seconds is the time during which requests are sent.
	Seconds float64 `json:"seconds"`
	// Faults lists the faults that a script injects during the run, in the order
	// of their times. The load generator measures the recovery from each.
	Faults []LoadFault `json:"faults,omitempty"`
	// Seed is the seed of the arrival times and sizes, which makes a run
	// repeatable.
	Seed uint64 `json:"seed"`
}

// LoadAccount defines the traffic of one client account. The traffic is an open
// loop: requests don't wait for earlier answers, like those of many independent
// callers.
type LoadAccount struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Share is the share in the account's contract. It is used to compute
	// AccountResult.ShareRatio.
	Share int `json:"share"`
	// Rate is the mean number of requests per second. The times between requests
	// are exponentially distributed.
	Rate float64 `json:"rate"`
	// Entries limits the account to the first Entries addresses of
	// LoadConfig.Entries; 0 means all.
	Entries int `json:"entries,omitempty"`
	// MaxTokens is the median of the requests' token limits, which are
	// log-normally distributed. Sigma is the standard deviation of their
	// logarithm.
	MaxTokens int     `json:"maxTokens"`
	Sigma     float64 `json:"sigma"`
	// Groups is the number of different prompts. Their popularity has a Zipf
	// distribution.
	Groups int `json:"groups"`
	// PromptWords is the number of filler words in a prompt.
	PromptWords int `json:"promptWords"`
}

// LoadFault is a fault that a script injects during the run.
type LoadFault struct {
	Name string `json:"name"`
	// AtSeconds is the time of the fault since the start of the run.
	AtSeconds float64 `json:"atSeconds"`
	// RemainingPercent is the share of the engines' slots that remains after the fault, in
	// percent of the slots before the first fault.
	RemainingPercent float64 `json:"keeps"`
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
	// minLoadTokens and maxLoadTokens are the smallest and the largest token limit of a
	// request.
	maxLoadTokens = 1024
	minLoadTokens = 8
	// groupSkew is the exponent of the Zipf distribution of the groups.
	groupSkew = 1.3
)

// loadRequest is one request of the plan.
type loadRequest struct {
	after     time.Duration // time at which it is due, since the start of the run
	group     int
	prompt    string
	seed      int64
	maxTokens int
}

// generateRequests returns the requests of an account in the order of their
// arrival.
func (a LoadAccount) generateRequests(duration time.Duration, seed uint64) []loadRequest {
	random := rand.New(rand.NewPCG(seed, uint64(len(a.Name))<<32+uint64(a.Name[0])))
	popularity := rand.NewZipf(random, groupSkew, 1, uint64(max(1, a.Groups)-1))
	var requests []loadRequest
	for at := 0.0; ; {
		at += random.ExpFloat64() / a.Rate
		after := time.Duration(at * float64(time.Second))
		if after >= duration {
			return requests
		}
		group := int(popularity.Uint64())
		size := float64(a.MaxTokens) * math.Exp(a.Sigma*random.NormFloat64())
		requests = append(requests, loadRequest{
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
