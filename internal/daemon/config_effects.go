package daemon

import (
	"context"
	"errors"

	"siskintide.example/siskintide/internal/configcheck"
	"siskintide.example/siskintide/internal/configcodec"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/revision"
	"siskintide.example/siskintide/internal/message"
	"siskintide.example/siskintide/internal/platform"
)

// ReadConfigHead implements control.Effects.
func (e *effects) ReadConfigHead() {
	e.start(func(ctx context.Context) {
		row, err := e.platform.Row(ctx, configcodec.HeadKey)
		e.loop.HandlePlatform(err == nil)
		if err != nil {
			e.loop.HandleConfigHead(revision.HeadRead{})
			return
		}
		head, err := configcodec.DecodeHead(row)
		if err != nil {
			e.log.WithError(err).Error("head of the configuration is unreadable")
		}
		e.loop.HandleConfigHead(revision.HeadRead{OK: err == nil, Head: head})
	})
}

// FetchConfigBody implements control.Effects.
func (e *effects) FetchConfigBody(head revision.Head) {
	e.start(func(ctx context.Context) {
		e.loop.HandleConfigBody(revision.BodyFetched{Head: head, Config: e.fetch(ctx, head)})
	})
}

// fetch returns the configuration of a head, or nil if it cannot be read or is invalid.
func (e *effects) fetch(ctx context.Context, head revision.Head) *core.Config {
	body, err := e.platform.Object(ctx, head.Object)
	if err != nil {
		var missing *platform.NotFoundError
		if errors.As(err, &missing) {
			e.log.WithField("object", head.Object).Error("body of the configuration is missing")
		}
		return nil
	}
	return e.decode(body)
}

// decode returns the configuration in a body, or nil if it is malformed or inconsistent.
func (e *effects) decode(body []byte) *core.Config {
	config, err := configcodec.Decode(body)
	if err == nil {
		err = configcheck.Check(config, true)
	}
	if err != nil {
		e.log.WithError(err).Error("body of the configuration is unreadable")
		return nil
	}
	return config
}

// SendConfig implements control.Effects.
func (e *effects) SendConfig(to core.HostID, config *core.Config) {
	e.start(func(context.Context) {
		body, err := configcodec.Encode(config)
		if err != nil {
			e.log.WithError(err).Error("configuration could not be encoded")
			return
		}
		e.node.Send(to, message.ConfigBody{Revision: config.Revision, Body: body})
	})
}

// receive passes a peer's message to the control loop. A configuration is decoded first,
// here on the link's goroutine.
func (e *effects) receive(from core.HostID, m message.Message) {
	body, ok := m.(message.ConfigBody)
	if !ok {
		e.loop.HandleMessage(from, m)
		return
	}
	if config := e.decode(body.Body); config != nil {
		e.loop.OfferConfig(config)
	}
}
