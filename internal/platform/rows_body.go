package platform

// rowsBody is the JSON form of a list of rows.
type rowsBody struct {
	Rows []rowBody `json:"rows"`
}
