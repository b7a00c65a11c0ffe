package platformserver

// Counts holds the numbers of requests served. It is the response body of
// GET /stand-in/counts.
type Counts struct {
	TableReads   int `json:"table_reads"`
	TableWrites  int `json:"table_writes"` // commits, including those that conflicted
	ObjectReads  int `json:"object_reads"`
	ObjectWrites int `json:"object_writes"`
	HostReads    int `json:"host_reads"`
	HostWrites   int `json:"host_writes"`
}
