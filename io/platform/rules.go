package platform

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"banyanyard/core/revision"
	"banyanyard/core/rules"
)

// Names of the tables that the system uses.
const (
	TableRules    = "rules"
	TableCalls    = "calls"
	TableCharges  = "charges"
	TableSessions = "sessions"
	TableSlots    = "slots"
	TableRollouts = "rollouts"
)

// headKey is the key of the only row of TableRules.
const headKey = "head"

// readBackInterval is the delay between attempts to find out whether a write took
// effect.
const readBackInterval = 200 * time.Millisecond

// A ruleStore reads and writes rows and objects, like Client.
type ruleStore interface {
	Get(ctx context.Context, table, key string) (Row, error)
	Insert(ctx context.Context, table, key string, value any) (string, error)
	Replace(ctx context.Context, table, key, version string, value any) (string, error)
	PutObject(ctx context.Context, key string, data []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// An ApplyUnknownError reports that rules were sent and that it is not known
// whether they were accepted.
type ApplyUnknownError struct{ Cause error }

func (e *ApplyUnknownError) Error() string {
	return fmt.Sprintf("unknown whether the rules were accepted (%v): run rules status, and apply the rules again if they were not", e.Cause)
}

// Unwrap returns the cause.
func (e *ApplyUnknownError) Unwrap() error { return e.Cause }

// ReadHead returns the head of the current configuration and the version of its
// row. Before the first configuration it returns the zero Head and "".
func ReadHead(ctx context.Context, t ruleStore) (revision.Head, string, error) {
	row, err := t.Get(ctx, TableRules, headKey)
	if errors.Is(err, ErrNotFound) {
		return revision.Head{}, "", nil
	}
	if err != nil {
		return revision.Head{}, "", err
	}
	var head revision.Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return revision.Head{}, "", fmt.Errorf("row rules/head is not a valid head (%w): apply the rules again", err)
	}
	return head, row.Version, nil
}

// ReadRules returns the text of the configuration with the given head.
func ReadRules(ctx context.Context, t ruleStore, head revision.Head) (string, error) {
	data, err := t.GetObject(ctx, head.ObjectKey)
	return string(data), err
}

// ApplyRules stores text as the configuration that follows revision base. It
// returns rules.Problems if the text is not valid, a revision.StaleError if the
// current revision is not base, and an ApplyUnknownError if the context ends
// before the outcome is known.
func ApplyRules(ctx context.Context, t ruleStore, base int64, text, by string) (revision.Head, error) {
	if _, err := rules.Parse(text); err != nil {
		return revision.Head{}, err
	}
	head := revision.Head{
		ObjectKey: revision.ObjectKey(text),
		ApplyID:   rand.Text(),
		AppliedBy: by,
		AppliedAt: time.Now().UTC(),
	}
	if err := t.PutObject(ctx, head.ObjectKey, []byte(text)); err != nil {
		return revision.Head{}, fmt.Errorf("the rules were not accepted: %w", err)
	}
	current, version, err := ReadHead(ctx, t)
	if err != nil {
		return revision.Head{}, fmt.Errorf("the rules were not accepted: %w", err)
	}
	if current.Number != base {
		return current, &revision.StaleError{Have: current.Number, Offered: base + 1}
	}
	head = current.Successor(head)
	if before, err := ReadRules(ctx, t, current); err == nil {
		head.SetPatch(before, text)
	}
	return head, writeHead(ctx, t, head, version)
}

// writeHead writes the head if the row still has the given version. If the
// response to a write is lost, it finds out whether the write took effect.
func writeHead(ctx context.Context, t ruleStore, head revision.Head, version string) error {
	err := putHead(ctx, t, head, version)
	var unavailable *UnavailableError
	for errors.As(err, &unavailable) {
		if !sleep(ctx, readBackInterval) {
			return &ApplyUnknownError{Cause: err}
		}
		// Retrying the write is safe: once it has taken effect, the row has
		// another version and the condition fails.
		err = putHead(ctx, t, head, version)
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return resolveConflict(ctx, t, head)
	}
	return err
}

// resolveConflict finds out whether the row was changed by this apply, whose
// response was lost, or by another one. Every later head shows which.
func resolveConflict(ctx context.Context, t ruleStore, head revision.Head) error {
	for {
		current, _, err := ReadHead(ctx, t)
		if err == nil && current.IncludesApply(head.ApplyID) {
			return nil
		}
		if err == nil && current.Number >= head.Number {
			return &revision.StaleError{Have: current.Number, Offered: head.Number}
		}
		if !sleep(ctx, readBackInterval) {
			return &ApplyUnknownError{Cause: err}
		}
	}
}

func putHead(ctx context.Context, t ruleStore, head revision.Head, version string) error {
	var err error
	if version == "" {
		_, err = t.Insert(ctx, TableRules, headKey, head)
	} else {
		_, err = t.Replace(ctx, TableRules, headKey, version, head)
	}
	return err
}

// sleep waits for d and reports whether it ended before the context did.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
