package platform

// rowsBody is the encoded form of a list of rows.
type rowsBody struct {
	Rows []rowBody `json:"rows"`
}
