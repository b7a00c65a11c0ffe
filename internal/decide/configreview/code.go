package configreview

// Code names the kind of a finding.
type Code string

// Codes of errors.
const (
	NoVersion        Code = "no_version"
	VersionNotHigher Code = "version_not_higher"
	NoName           Code = "no_name"
	NameTaken        Code = "name_taken"
	Negative         Code = "negative"
	UnknownKind      Code = "unknown_kind"
	StickyNotBoolean Code = "sticky_not_boolean"
	NoService        Code = "no_service"
	UnknownService   Code = "unknown_service"
	ServiceIgnored   Code = "service_ignored"
	EmptyKey         Code = "empty_key"
)

// Codes of entries that can never match.
const (
	Shadowed           Code = "shadowed"
	HostNeverMatches   Code = "host_never_matches"
	PrefixNeverMatches Code = "prefix_never_matches"
	NoWeight           Code = "no_weight"
	ZeroWeight         Code = "zero_weight"
	ServiceUnused      Code = "service_unused"
	TenantWithoutKeys  Code = "tenant_without_keys"
	NoKeyAtAll         Code = "no_key_at_all"
	KeyOfTwoTenants    Code = "key_of_two_tenants"
)

// Codes of limits that contradict each other.
const (
	TimeoutZero         Code = "timeout_zero"
	GoalAboveTimeout    Code = "goal_above_timeout"
	RepeatNotAllowed    Code = "repeat_not_allowed"
	ResumableNotStream  Code = "resumable_not_stream"
	LimitZero           Code = "limit_zero"
	BodyAboveHostMemory Code = "body_above_host_memory"
)

var classes = map[Code]Class{
	Shadowed: ClassUnreachable, HostNeverMatches: ClassUnreachable, PrefixNeverMatches: ClassUnreachable,
	NoWeight: ClassUnreachable, ZeroWeight: ClassUnreachable, ServiceUnused: ClassUnreachable,
	TenantWithoutKeys: ClassUnreachable, NoKeyAtAll: ClassUnreachable, KeyOfTwoTenants: ClassUnreachable,
	TimeoutZero: ClassLimits, GoalAboveTimeout: ClassLimits, RepeatNotAllowed: ClassLimits,
	ResumableNotStream: ClassLimits, LimitZero: ClassLimits, BodyAboveHostMemory: ClassLimits,
}

// Class returns the class of findings with this code.
func (c Code) Class() Class {
	if class, ok := classes[c]; ok {
		return class
	}
	return ClassError
}
