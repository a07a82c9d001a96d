package rollout

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodpond/internal/contract"
	"dogwoodpond/internal/event"
	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/generate"
	"dogwoodpond/internal/platform"
	"dogwoodpond/internal/sample"
)

// Manager opens, owns and delivers steps on one VM.
type Manager struct {
	store  store
	runner generate.Runner
	events *event.Recorder

	ctx    context.Context
	cancel context.CancelFunc
	owners sync.WaitGroup
}

// NewManager returns a manager; Close ends its owners.
func NewManager(tables platform.Tables, runner generate.Runner, events *event.Recorder) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{store: store{tables: tables}, runner: runner, events: events, ctx: ctx, cancel: cancel}
}

// Close ends the owners and waits for them.
func (m *Manager) Close() {
	m.cancel()
	m.owners.Wait()
}

// Open opens a step. A repeat with the same definition returns the step's
// status; one with another fails with *fault.StepMismatch.
func (m *Manager) Open(ctx context.Context, account contract.Account, step string, definition sample.Definition) (sample.Status, error) {
	r := ref{account: account, step: step}
	row := stepRow{Definition: definition}
	err := platform.CommitSurely(ctx, m.store.tables, platform.Txn{
		Nonce:         platform.NewNonce(),
		Preconditions: []platform.Precondition{{Key: r.stepKey()}},
		Writes:        []platform.Write{{Key: r.stepKey(), Value: encode(row)}},
	})
	if fault.Is[*fault.PreconditionFailed](err) {
		return m.reopen(ctx, r, definition)
	}
	if err != nil {
		return sample.Status{}, err
	}
	m.events.Emit(event.StepOpened, event.Subject{Account: string(account), Step: step})
	m.owners.Go(func() { m.own(r, row) })
	return status(r, row), nil
}

func (m *Manager) reopen(ctx context.Context, r ref, definition sample.Definition) (sample.Status, error) {
	row, _, err := m.store.read(ctx, r)
	if err != nil {
		return sample.Status{}, err
	}
	if !bytes.Equal(encode(row.Definition), encode(definition)) {
		return sample.Status{}, errors.WithStack(&fault.StepMismatch{Step: r.step})
	}
	return status(r, row), nil
}

func status(r ref, row stepRow) sample.Status {
	return sample.Status{
		Step:      r.step,
		Slots:     len(row.Definition.Slots()),
		Committed: row.Committed,
		Acked:     row.Acked,
	}
}

const (
	// ownerWidth is how many slots an owner generates at once.
	ownerWidth  = 64
	samplePages = 256
	waitPeriod  = 100 * time.Millisecond
)

// own generates every slot of a step and commits the samples.
func (m *Manager) own(r ref, row stepRow) {
	m.events.Emit(event.StepOwned, event.Subject{Account: string(r.account), Step: r.step})
	places := make(chan struct{}, ownerWidth)
	var running sync.WaitGroup
	for _, slot := range row.Definition.Slots() {
		places <- struct{}{}
		running.Go(func() {
			defer func() { <-places }()
			m.fill(r, row.Definition, slot)
		})
	}
	running.Wait()
}

// fill generates a slot's sample until one is committed.
func (m *Manager) fill(r ref, definition sample.Definition, slot sample.Slot) {
	for m.ctx.Err() == nil {
		result, err := m.runner.Generate(m.ctx, generation(r, definition, slot), nil)
		if err == nil {
			err = m.commit(r, slot, result)
		}
		if err == nil {
			return
		}
		time.Sleep(fault.RetryAfterOf(err, waitPeriod))
	}
}

func generation(r ref, definition sample.Definition, slot sample.Slot) generate.Request {
	return generate.Request{
		ID:        uuid.NewString(),
		Account:   r.account,
		Model:     definition.Model,
		Adapter:   definition.Adapter,
		Prompt:    slot.Prompt,
		MaxTokens: definition.MaxTokens,
		Seed:      int64(xxhash.Sum64String(r.step+"/"+slot.Name()) >> 1),
		Priority:  generate.Rollout,
		Group:     r.step + "/" + slot.Group,
		Step:      r.step,
		Slot:      slot.Name(),
	}
}

// commit numbers and stores a sample; the first commit of a slot wins.
func (m *Manager) commit(r ref, slot sample.Slot, result generate.Result) error {
	for {
		step, row, err := m.store.read(m.ctx, r)
		if err != nil {
			return err
		}
		step.Committed++
		kept := sample.Sample{
			Number: step.Committed,
			Slot:   slot,
			Text:   strings.Join(result.Tokens, ""),
			Tokens: len(result.Tokens),
			Spans:  result.Spans,
		}
		slotKey := r.slotPrefix() + slot.Name()
		err = platform.CommitSurely(m.ctx, m.store.tables, platform.Txn{
			Nonce: platform.NewNonce(),
			Preconditions: []platform.Precondition{
				{Key: slotKey},
				{Key: row.Key, Version: row.Version},
			},
			Writes: []platform.Write{
				{Key: slotKey, Value: encode(kept.Number)},
				{Key: row.Key, Value: encode(step)},
				{Key: r.sampleKey(kept.Number), Value: encode(kept)},
			},
		})
		var lost *fault.PreconditionFailed
		if errors.As(err, &lost) && lost.Row != slotKey {
			continue
		}
		if err == nil {
			m.events.Emit(event.SamplesCommitted, event.Subject{Account: string(r.account), Step: r.step, Slot: slot.Name(), Count: 1})
		}
		if lost != nil {
			return nil
		}
		return err
	}
}

// Samples returns the committed samples after a number, and waits up to wait
// for the first.
func (m *Manager) Samples(ctx context.Context, account contract.Account, step string, after int64, wait time.Duration) ([]sample.Sample, error) {
	r := ref{account: account, step: step}
	if _, _, err := m.store.read(ctx, r); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(wait)
	for {
		samples, err := m.store.samples(ctx, r, after, samplePages)
		if err != nil || len(samples) > 0 || !time.Now().Before(deadline) {
			return samples, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.WithStack(&fault.CallerGone{})
		case <-time.After(waitPeriod):
		}
	}
}

// Ack confirms the samples up to a number.
func (m *Manager) Ack(ctx context.Context, account contract.Account, step string, through int64) error {
	r := ref{account: account, step: step}
	for {
		kept, row, err := m.store.read(ctx, r)
		if err != nil || kept.Acked >= through {
			return err
		}
		kept.Acked = min(through, kept.Committed)
		err = platform.CommitSurely(ctx, m.store.tables, platform.Txn{
			Nonce:         platform.NewNonce(),
			Preconditions: []platform.Precondition{{Key: row.Key, Version: row.Version}},
			Writes:        []platform.Write{{Key: row.Key, Value: encode(kept)}},
		})
		if !fault.Is[*fault.PreconditionFailed](err) {
			return err
		}
	}
}
