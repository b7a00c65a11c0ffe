package revision

// FetchBody reads the body of a head from the platform's object store.
type FetchBody struct {
	Head Head
}

func (FetchBody) effect() {}
