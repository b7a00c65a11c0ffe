package configreview

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

const testBodyMemory = 28 << 20 // bytes

// soundDocument returns a configuration without findings.
func soundDocument() *Document {
	priority := 2
	return &Document{
		Version: 7,
		Routes: []Route{
			{Name: "lookup", Host: "a.example", Prefix: "/lookup/", Kind: core.RouteIdempotent, Timeout: time.Second,
				AnswerGoal: 300 * time.Millisecond, Service: "web", MaxAttempts: 2, Public: true},
			{Name: "draft", Host: "a.example", Prefix: "/draft/", Kind: core.RouteStream, Timeout: 15 * time.Second,
				AnswerGoal: time.Second, GapGoal: 200 * time.Millisecond, Shares: []Share{{"llm", 9}, {"llm-next", 1}},
				MaxAttempts: 3, Resumable: true, Sticky: true},
		},
		Services: []Service{{Name: "web", MaxConnections: 10}, {Name: "llm", Engine: &Engine{Slots: 8}}, {Name: "llm-next"}},
		Limits:   Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Tenants:  []Tenant{{Name: "oslo", Keys: []string{"k1", "k2"}}, {Name: "dar", Keys: []string{"k3"}, Priority: &priority}},
		KeysUsed: true,
	}
}

// expected is a finding without the values that its message shows.
type expected struct {
	code  Code
	name  string
	field Field
	other string
}

// TestFindings guards against a fault that is not found, and against a fault that is found where there is none.
func TestFindings(t *testing.T) {
	cases := map[string]struct {
		change func(d *Document)
		want   []expected
	}{
		"sound": {func(*Document) {}, nil},
		"no version": {func(d *Document) { d.Version = 0 },
			[]expected{{code: NoVersion, field: FieldVersion}}},
		"no name": {func(d *Document) { d.Routes[0].Name = "" },
			[]expected{{code: NoName, field: FieldName}}},
		"same route name": {func(d *Document) { d.Routes[0].Name = "draft" },
			[]expected{{NameTaken, "draft", FieldName, ""}}},
		"same service name": {func(d *Document) { d.Services = append(d.Services, Service{Name: "web"}) },
			[]expected{{NameTaken, "web", FieldName, ""}}},
		"same tenant name": {func(d *Document) { d.Tenants[1].Name = "oslo" },
			[]expected{{NameTaken, "oslo", FieldName, ""}}},
		"negative timeout": {func(d *Document) { d.Routes[0].Timeout = -time.Second },
			[]expected{{Negative, "lookup", FieldTimeout, ""}}},
		"negative weight": {func(d *Document) { d.Routes[1].Shares[1].Weight = -1 },
			[]expected{{Negative, "draft", FieldShares, ""}, {ServiceUnused, "llm-next", "", ""}}},
		"negative connections": {func(d *Document) { d.Services[0].MaxConnections = -1 },
			[]expected{{Negative, "web", FieldMaxConnections, ""}}},
		"negative slots": {func(d *Document) { d.Services[1].Engine.Slots = -1 },
			[]expected{{Negative, "llm", FieldSlots, ""}}},
		"negative tenant priority": {func(d *Document) { *d.Tenants[1].Priority = -1 },
			[]expected{{Negative, "dar", FieldPriority, ""}}},
		"negative idle timeout": {func(d *Document) { d.Limits.IdleTimeout = -1 },
			[]expected{{Negative, "", FieldIdleTimeout, ""}}},
		"unknown kind": {func(d *Document) { d.Routes[0].Kind, d.Routes[0].MaxAttempts = 0, 1 },
			[]expected{{UnknownKind, "lookup", FieldKind, ""}}},
		"odd sticky": {func(d *Document) { d.Routes[0].StickyOdd = true },
			[]expected{{StickyNotBoolean, "lookup", FieldSticky, ""}}},
		"no service": {func(d *Document) { d.Routes[0].Service = "" },
			[]expected{{NoService, "lookup", FieldService, ""}, {ServiceUnused, "web", "", ""}}},
		"unknown service": {func(d *Document) { d.Routes[0].Service = "wbe" },
			[]expected{{UnknownService, "lookup", FieldService, ""}, {ServiceUnused, "web", "", ""}}},
		"service beside a split": {func(d *Document) { d.Routes[1].Service = "web" },
			[]expected{{ServiceIgnored, "draft", FieldService, ""}}},
		"shadowed by a later route": {func(d *Document) { d.Routes[0].Host, d.Routes[0].Prefix = "A.Example", "/draft/" },
			[]expected{{Shadowed, "lookup", FieldPrefix, "draft"}, {ServiceUnused, "web", "", ""}}},
		"longer prefix is no shadow": {func(d *Document) { d.Routes[0].Prefix = "/draft/lookup/" }, nil},
		"host with a port": {func(d *Document) { d.Routes[0].Host = "a.example:80" },
			[]expected{{HostNeverMatches, "lookup", FieldHost, ""}, {ServiceUnused, "web", "", ""}}},
		"prefix without a slash at its end": {func(d *Document) { d.Routes[0].Prefix = "/lookup" },
			[]expected{{PrefixNeverMatches, "lookup", FieldPrefix, ""}, {ServiceUnused, "web", "", ""}}},
		"weight zero": {func(d *Document) { d.Routes[1].Shares[1].Weight = 0 },
			[]expected{{ZeroWeight, "draft", FieldShares, "llm-next"}, {ServiceUnused, "llm-next", "", ""}}},
		"only weights zero": {func(d *Document) { d.Routes[1].Shares = []Share{{"web", 0}} },
			[]expected{{ZeroWeight, "draft", FieldShares, "web"}, {NoWeight, "draft", FieldShares, ""},
				{ServiceUnused, "llm", "", ""}, {ServiceUnused, "llm-next", "", ""}}},
		"service without a route": {func(d *Document) { d.Services = append(d.Services, Service{Name: "idle"}) },
			[]expected{{ServiceUnused, "idle", "", ""}}},
		"key of two tenants": {func(d *Document) { d.Tenants[1].Keys = []string{"k3", "k2", "k2"} },
			[]expected{{KeyOfTwoTenants, "oslo", FieldKeys, "dar"}}},
		"key twice at one tenant": {func(d *Document) { d.Tenants[1].Keys = []string{"k3", "k3"} }, nil},
		"tenant without keys": {func(d *Document) { d.Tenants[1].Keys = nil },
			[]expected{{TenantWithoutKeys, "dar", FieldKeys, ""}}},
		"empty key": {func(d *Document) { d.Tenants[1].Keys = []string{""} },
			[]expected{{EmptyKey, "dar", FieldKeys, ""}}},
		"no tenants at all":      {func(d *Document) { d.Tenants = nil }, []expected{{code: NoKeyAtAll, field: FieldTenants}}},
		"no list of tenants":     {func(d *Document) { d.Tenants, d.KeysUsed = nil, false }, nil},
		"no tenants, all public": {func(d *Document) { d.Tenants, d.Routes[1].Public = nil, true }, nil},
		"timeout zero": {func(d *Document) { d.Routes[0].Timeout = 0 },
			[]expected{{TimeoutZero, "lookup", FieldTimeout, ""}}},
		"timeout below target latency": {func(d *Document) { d.Routes[0].AnswerGoal = 1001 * time.Millisecond },
			[]expected{{GoalAboveTimeout, "lookup", FieldAnswerGoal, "1s"}}},
		"timeout equal to target latency": {func(d *Document) { d.Routes[0].AnswerGoal = time.Second }, nil},
		"gap goal above timeout": {func(d *Document) { d.Routes[1].GapGoal = 16 * time.Second },
			[]expected{{GoalAboveTimeout, "draft", FieldGapGoal, "15s"}}},
		"attempts at most once": {func(d *Document) { d.Routes[0].Kind = core.RouteAtMostOnce },
			[]expected{{RepeatNotAllowed, "lookup", FieldMaxAttempts, "at_most_once"}}},
		"attempts of a stream that is not resumable": {func(d *Document) { d.Routes[1].Resumable = false },
			[]expected{{RepeatNotAllowed, "draft", FieldMaxAttempts, "stream"}}},
		"resumable calls": {func(d *Document) { d.Routes[0].Resumable = true },
			[]expected{{ResumableNotStream, "lookup", FieldResumable, "idempotent"}}},
		"limits zero": {func(d *Document) { d.Limits = Limits{} },
			[]expected{{code: LimitZero, field: FieldHeaderBytes}, {code: LimitZero, field: FieldBodyBytes},
				{code: LimitZero, field: FieldHeaderTimeout}, {code: LimitZero, field: FieldIdleTimeout}}},
		"body that fits just so": {func(d *Document) { d.Limits.BodyBytes = testBodyMemory }, nil},
		"body above the memory of a host": {func(d *Document) { d.Limits.BodyBytes = testBodyMemory + 1 },
			[]expected{{BodyAboveHostMemory, "", FieldBodyBytes, "29360128"}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			document := soundDocument()
			c.change(document)
			var got []expected
			for _, f := range Check(document, nil, Bounds{BodyMemory: testBodyMemory}).Findings {
				got = append(got, expected{f.Code, f.Name, f.Field, f.Other})
			}
			require.Equal(t, c.want, got)
		})
	}
}

// TestVersionMustRise guards against a configuration that hosts ignore because a newer one is in force.
func TestVersionMustRise(t *testing.T) {
	for version, want := range map[uint64][]Code{6: {VersionNotHigher}, 7: {VersionNotHigher}, 8: nil} {
		document := soundDocument()
		document.Version = version
		var got []Code
		for _, f := range Check(document, soundDocument(), Bounds{BodyMemory: testBodyMemory}).Findings {
			got = append(got, f.Code)
		}
		require.Equal(t, want, got, version)
	}
}

// TestDifferences guards against a change that the operator is not shown, and against keys that are shown.
func TestDifferences(t *testing.T) {
	next := soundDocument()
	next.Version = 8
	next.Routes[0].Name = "find"
	next.Routes[1].Shares[0].Weight = 8
	next.Routes[1].Timeout = 20 * time.Second
	next.Services[1].Engine.Slots = 9
	next.Services = append(next.Services[:2], Service{Name: "idle"})
	next.Tenants[0].Keys = []string{"k2", "k4", "k5"}
	next.Tenants[1].Priority = nil
	next.Limits.BodyBytes = 5
	require.Equal(t, []Difference{
		{Changed, SectionDocument, "", FieldVersion, "7", "8"},
		{Change: Added, Section: SectionRoute, Name: "find"},
		{Changed, SectionRoute, "draft", FieldTimeout, "15s", "20s"},
		{Changed, SectionRoute, "draft", FieldShares, "llm:9, llm-next:1", "llm:8, llm-next:1"},
		{Change: Removed, Section: SectionRoute, Name: "lookup"},
		{Changed, SectionService, "llm", FieldSlots, "8", "9"},
		{Change: Added, Section: SectionService, Name: "idle"},
		{Change: Removed, Section: SectionService, Name: "llm-next"},
		{Changed, SectionTenant, "oslo", FieldKeys, "1 removed", "2 added"},
		{Changed, SectionTenant, "dar", FieldPriority, "2", ""},
		{Changed, SectionLimits, "", FieldBodyBytes, "1048576", "5"},
	}, Check(next, soundDocument(), Bounds{}).Differences)

	open := soundDocument()
	open.Tenants, open.KeysUsed = nil, false
	require.Equal(t, []Difference{
		{Changed, SectionDocument, "", FieldTenants, "true", "false"},
		{Change: Removed, Section: SectionTenant, Name: "oslo"},
		{Change: Removed, Section: SectionTenant, Name: "dar"},
	}, Check(open, soundDocument(), Bounds{}).Differences)
}
