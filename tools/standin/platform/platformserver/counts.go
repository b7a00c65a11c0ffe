package platformserver

// Counts says how many calls the stand-in has served; GET /stand-in/counts gives them.
type Counts struct {
	TableReads   int `json:"table_reads"`
	TableWrites  int `json:"table_writes"` // commits, also those that conflicted
	ObjectReads  int `json:"object_reads"`
	ObjectWrites int `json:"object_writes"`
	HostReads    int `json:"host_reads"`
	HostWrites   int `json:"host_writes"`
}
