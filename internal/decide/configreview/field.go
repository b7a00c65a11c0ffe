package configreview

// Field is a value of an entry, by the project's own name.
type Field string

// Fields of all sections.
const (
	FieldVersion        Field = "version"
	FieldName           Field = "name"
	FieldHost           Field = "host"
	FieldPrefix         Field = "prefix"
	FieldKind           Field = "kind"
	FieldTimeout        Field = "timeout"
	FieldAnswerGoal     Field = "answer_goal"
	FieldGapGoal        Field = "gap_goal"
	FieldPriority       Field = "priority"
	FieldService        Field = "service"
	FieldShares         Field = "shares"
	FieldMaxAttempts    Field = "max_attempts"
	FieldPublic         Field = "public"
	FieldResumable      Field = "resumable"
	FieldSticky         Field = "sticky"
	FieldHealthPath     Field = "health_path"
	FieldMaxConnections Field = "max_connections"
	FieldColdPeriod     Field = "cold_period"
	FieldColdRate       Field = "cold_rate"
	FieldEngine         Field = "engine"
	FieldSlots          Field = "slots"
	FieldMemoryTokens   Field = "memory_tokens"
	FieldCopies         Field = "copies"
	FieldMoves          Field = "moves"
	FieldEventTokens    Field = "event_tokens"
	FieldCopyTTL        Field = "copy_ttl"
	FieldTenants        Field = "tenants"
	FieldKeys           Field = "keys"
	FieldHeaderBytes    Field = "header_bytes"
	FieldBodyBytes      Field = "body_bytes"
	FieldHeaderTimeout  Field = "header_timeout"
	FieldIdleTimeout    Field = "idle_timeout"
)
