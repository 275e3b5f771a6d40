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

// Tables that the system keeps.
const (
	TableRules    = "rules"
	TableCalls    = "calls"
	TableCharges  = "charges"
	TableSessions = "sessions"
	TableSlots    = "slots"
	TableRollouts = "rollouts"
)

// headKey is the key of the one row of TableRules.
const headKey = "head"

// readBackPause is the time between attempts to learn what a write did.
const readBackPause = 200 * time.Millisecond

// A ruleTable is what reading and applying rules needs of the platform.
type ruleTable interface {
	Get(ctx context.Context, table, key string) (Row, error)
	Insert(ctx context.Context, table, key string, value any) (string, error)
	Replace(ctx context.Context, table, key, version string, value any) (string, error)
	PutObject(ctx context.Context, key string, data []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// An ApplyUnknownError reports an apply whose outcome could not be learnt.
type ApplyUnknownError struct{ Cause error }

func (e *ApplyUnknownError) Error() string {
	return fmt.Sprintf("the platform did not say whether the rules were accepted (%v): run rules status, and apply again if they were not", e.Cause)
}

// Unwrap returns the cause.
func (e *ApplyUnknownError) Unwrap() error { return e.Cause }

// ReadHead returns the head of the configuration and its row's version. Without
// any configuration it returns the zero Head.
func ReadHead(ctx context.Context, t ruleTable) (revision.Head, string, error) {
	row, err := t.Get(ctx, TableRules, headKey)
	if errors.Is(err, ErrNotFound) {
		return revision.Head{}, "", nil
	}
	if err != nil {
		return revision.Head{}, "", err
	}
	var head revision.Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return revision.Head{}, "", fmt.Errorf("the head of the rules is damaged (%w): apply the rules again", err)
	}
	return head, row.Version, nil
}

// ReadRules returns the text of a configuration.
func ReadRules(ctx context.Context, t ruleTable, head revision.Head) (string, error) {
	data, err := t.GetObject(ctx, head.ObjectKey)
	return string(data), err
}

// ApplyRules makes text the configuration that follows revision from. It
// returns rules.Problems when the text is not valid, a revision.StaleError when another configuration was accepted since,
// and an ApplyUnknownError when the context ends before the outcome is known.
func ApplyRules(ctx context.Context, t ruleTable, from int64, text, by string) (revision.Head, error) {
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
	if current.Number != from {
		return current, &revision.StaleError{Have: current.Number, Offered: from + 1}
	}
	head = current.Successor(head)
	if before, err := ReadRules(ctx, t, current); err == nil {
		head.SetPatch(before, text)
	}
	return head, writeHead(ctx, t, head, version)
}

// writeHead writes the head where the row's version has not changed, and finds
// out what became of a write whose answer is lost.
func writeHead(ctx context.Context, t ruleTable, head revision.Head, version string) error {
	err := putHead(ctx, t, head, version)
	var unavailable *UnavailableError
	for errors.As(err, &unavailable) {
		if !sleep(ctx, readBackPause) {
			return &ApplyUnknownError{Cause: err}
		}
		// Repeating the write is safe: it takes effect at most once, since the
		// first effect changes the row's version.
		err = putHead(ctx, t, head, version)
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return settleConflict(ctx, t, head)
	}
	return err
}

// settleConflict tells a lost answer to an own write from another operator's.
// The row has changed since it was read, so every newer head shows which.
func settleConflict(ctx context.Context, t ruleTable, head revision.Head) error {
	for {
		current, _, err := ReadHead(ctx, t)
		if err == nil && current.IncludesApply(head.ApplyID) {
			return nil
		}
		if err == nil && current.Number >= head.Number {
			return &revision.StaleError{Have: current.Number, Offered: head.Number}
		}
		if !sleep(ctx, readBackPause) {
			return &ApplyUnknownError{Cause: err}
		}
	}
}

func putHead(ctx context.Context, t ruleTable, head revision.Head, version string) error {
	var err error
	if version == "" {
		_, err = t.Insert(ctx, TableRules, headKey, head)
	} else {
		_, err = t.Replace(ctx, TableRules, headKey, version, head)
	}
	return err
}

// sleep waits for d and reports whether the context is still live.
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
