package main

import (
	"fmt"
	"strings"

	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/internal/sqltext"
	"flaxrelay/internal/stmtstats"
)

// explainCommand explains how one statement is classified and estimated.
type explainCommand struct {
	SQL  string   `arg:"" help:"The statement."`
	Bind []string `sep:"none" placeholder:"VALUE" help:"Value of the next parameter; NULL stands for null."`

	Snapshot   string  `placeholder:"FILE" help:"Snapshot to use; without a snapshot there are no statistics."`
	HintMillis float64 `name:"hint" placeholder:"MS" help:"The client's estimate of the work, in ms."`
	KnownClass int     `name:"known" default:"-1" help:"Index of the class if it is known, from 0; -1: unknown."`

	Bounds            []float64 `default:"800" help:"Limits between classes of read-only statements, in ms of work."`
	ReadOnlyFunctions []string  `name:"readers" help:"Read-only functions besides PostgreSQL's own."`
}

// explainStoreBytes is enough for any snapshot that a front end writes with usual settings.
const explainStoreBytes = 64 << 20

// nullArgument stands for null on the command line.
const nullArgument = "NULL"

// Run prints how a front end would classify and estimate the statement.
func (c *explainCommand) Run() error {
	model := c.costModel()
	store, err := c.openStore(model)
	if err != nil {
		return err
	}
	binds := c.boundValues()
	analysis := c.analyze()
	var t table
	c.addAnalysis(&t, analysis, binds)
	hint := stmtstats.Hint{WorkMillis: c.HintMillis}
	estimate := store.Estimate(store.Parse(c.SQL), binds, c.KnownClass, hint).Estimate
	if estimate.Known {
		ninetiethPercentile := estimate.WorkMillis * estimate.SpreadFactor
		t.row("expected\t%.4g ms, 90%% below %.4g ms", estimate.WorkMillis, ninetiethPercentile)
		if estimate.MemoryMB > 0 {
			t.row("memory\t%.3g MB", estimate.MemoryMB)
		}
		if analysis.Verdict.Effect == sqltext.EffectReads && estimate.Class >= 0 {
			t.row("class\t%s", model.Classes[estimate.Class].Name)
		}
	}
	t.row("reasons\t%s", estimate.Explain())
	return t.print()
}

// costModel returns a cost model of read-only statements. It has one class for each bound, which is the limit
// of that class, and a last class without a limit.
func (c *explainCommand) costModel() costmodel.Config {
	var model costmodel.Config
	for i, bound := range c.Bounds {
		class := costmodel.Class{Name: fmt.Sprintf("class %d", i), MaxWorkMillis: bound}
		model.Classes = append(model.Classes, class)
	}
	last := costmodel.Class{Name: fmt.Sprintf("class %d", len(c.Bounds))}
	model.Classes = append(model.Classes, last)
	return model
}

// openStore returns the statistics of the snapshot, or empty statistics if no snapshot is given.
func (c *explainCommand) openStore(model costmodel.Config) (*stmtstats.Store, error) {
	options := stmtstats.Options{CostModel: model, MaxBytes: explainStoreBytes}
	store, err := stmtstats.New(options)
	if err != nil || c.Snapshot == "" {
		return store, err
	}
	snapshot, err := stmtstats.ReadSnapshot(c.Snapshot)
	if err != nil {
		return nil, err
	}
	return stmtstats.Restore(options, snapshot)
}

// boundValues returns the values of the statement's parameters.
func (c *explainCommand) boundValues() *sqltext.Binds {
	binds := &sqltext.Binds{}
	for _, value := range c.Bind {
		if value == nullArgument {
			binds.Values = append(binds.Values, nil)
			continue
		}
		binds.Values = append(binds.Values, []byte(value))
	}
	return binds
}

func (c *explainCommand) analyze() *sqltext.Analysis {
	readOnly := sqltext.Functions{}
	for _, name := range c.ReadOnlyFunctions {
		readOnly[name] = true
	}
	return sqltext.NewAnalyzer().AnalyzeAndClassify(c.SQL, readOnly)
}

// addAnalysis adds the analysis of the statement and the profile of its bound values to the table.
func (c *explainCommand) addAnalysis(t *table, analysis *sqltext.Analysis, binds *sqltext.Binds) {
	t.row("tokens\t%s", formatTokens(c.SQL))
	t.row("shape\t%s", analysis.NormalForm)
	if analysis.HasDataset {
		t.row("dataset\t%d", analysis.Dataset)
	}
	t.row("effect\t%v (%v)", analysis.Verdict.Effect, analysis.Verdict)
	t.row("features\t%+v", analysis.Features)
	profile := analysis.Profile(c.SQL, binds, 0)
	t.row("profile\t%s", formatProfile(&profile))
}

// maxTokensLength is the length, in bytes, after which a list of tokens is truncated.
const maxTokensLength = 2000

// formatTokens lists the tokens of a statement.
func formatTokens(statement string) string {
	lexer := sqltext.Lexer{Src: statement}
	var list strings.Builder
	for token := lexer.Next(); token.Kind != sqltext.EndOfText; token = lexer.Next() {
		if list.Len() > 0 {
			list.WriteString(" · ")
		}
		if list.Len() > maxTokensLength {
			list.WriteString("…")
			break
		}
		list.WriteString(strings.Join(strings.Fields(lexer.Text(token)), " "))
	}
	return list.String()
}

// formatProfile describes the properties of the bound values that affect the cost of an execution.
func formatProfile(profile *sqltext.Profile) string {
	var parts []string
	addIf := func(condition bool, format string, args ...any) {
		if condition {
			parts = append(parts, fmt.Sprintf(format, args...))
		}
	}
	addIf(profile.Alternatives > 0, "%d alternatives", profile.Alternatives)
	addIf(profile.Span > 0, "a range of %.4g", profile.Span)
	addIf(profile.HalfOpen, "a half-open range")
	addIf(profile.Wildcard == sqltext.InnerWildcard, "a pattern with a fixed prefix")
	addIf(profile.Wildcard == sqltext.LeadingWildcard, "a pattern with a leading wildcard")
	addIf(profile.RowLimit > 0, "at most %.0f rows", profile.RowLimit)
	addIf(profile.DisabledRestrictions > 0, "%d restrictions disabled by null", profile.DisabledRestrictions)
	addIf(profile.Rows > 0, "%d rows to write", profile.Rows)
	addIf(profile.Unrestricted, "no restriction on what is read")
	if len(parts) == 0 {
		return "no property that affects the cost"
	}
	return strings.Join(parts, ", ")
}
