package core

// PoolID names the targets that can serve the same requests: all engines of one model,
// or all processes of one plain service.
type PoolID string

// ModelPool returns the pool of a model's engines.
func ModelPool(model ModelID) PoolID { return PoolID("model/" + string(model)) }

// ServicePool returns the pool of a plain service's processes.
func ServicePool(service ServiceID) PoolID { return PoolID("service/" + string(service)) }

// Pool returns the pool that the target belongs to.
func (t Target) Pool() PoolID {
	if t.Service != "" {
		return ServicePool(t.Service)
	}
	return ModelPool(t.Model)
}
