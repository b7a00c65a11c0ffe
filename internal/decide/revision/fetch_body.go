package revision

// FetchBody asks for the body of a head from the platform's object store.
type FetchBody struct {
	Head Head
}

func (FetchBody) effect() {}
