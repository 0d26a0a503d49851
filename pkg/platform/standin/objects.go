package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/rest"
)

// storeCollection is the collection of the store behind the API: the store
// serves every mesh, so that its rates and faults hold for all of them.
func storeCollection(c *app.RequestContext) platform.Collection {
	return platform.Collection(c.Param("mesh") + "/" + c.Param("collection"))
}

func storeKey(c *app.RequestContext) platform.Key {
	return platform.Key{Collection: storeCollection(c), Name: c.Param("name")}
}

func wireObject(c *app.RequestContext, o platform.Object) rest.Object {
	return rest.Object{
		APIVersion: rest.APIVersion,
		Kind:       rest.Kind(platform.Collection(c.Param("collection"))),
		Metadata: rest.Metadata{
			Name:            o.Key.Name,
			Namespace:       c.Param("mesh"),
			ResourceVersion: string(o.Revision),
		},
		Spec: o.Value,
	}
}

func (s *Server) get(ctx context.Context, c *app.RequestContext) {
	o, err := s.store.Get(ctx, storeKey(c))
	if err != nil {
		s.fail(c, err)
		return
	}
	answer(c, http.StatusOK, wireObject(c, o))
}

func (s *Server) list(ctx context.Context, c *app.RequestContext) {
	if c.Query("watch") == "1" || c.Query("watch") == "true" {
		s.watch(ctx, c)
		return
	}
	objects, revision, err := s.store.List(ctx, storeCollection(c))
	if err != nil {
		s.fail(c, err)
		return
	}
	list := rest.List{
		APIVersion: rest.APIVersion,
		Kind:       rest.Kind(platform.Collection(c.Param("collection"))) + "List",
		Metadata:   rest.Metadata{ResourceVersion: string(revision)},
		Items:      make([]rest.Object, 0, len(objects)),
	}
	for _, o := range objects {
		list.Items = append(list.Items, wireObject(c, o))
	}
	answer(c, http.StatusOK, list)
}

func (s *Server) create(ctx context.Context, c *app.RequestContext) {
	o, ok := s.requestObject(c)
	if !ok {
		return
	}
	if o.Metadata.Name == "" || o.Metadata.ResourceVersion != "" {
		s.refuse(c, http.StatusBadRequest, rest.ReasonBadRequest, "a new object has a name and no resourceVersion")
		return
	}
	s.put(ctx, c, o, http.StatusCreated)
}

func (s *Server) update(ctx context.Context, c *app.RequestContext) {
	o, ok := s.requestObject(c)
	if !ok {
		return
	}
	if o.Metadata.Name != c.Param("name") || o.Metadata.ResourceVersion == "" {
		s.refuse(c, http.StatusBadRequest, rest.ReasonBadRequest, "an update has the object's name and its resourceVersion")
		return
	}
	s.put(ctx, c, o, http.StatusOK)
}

func (s *Server) put(ctx context.Context, c *app.RequestContext, o rest.Object, code int) {
	key := platform.Key{Collection: storeCollection(c), Name: o.Metadata.Name}
	revision, err := s.store.Put(ctx, key, o.Spec, platform.Revision(o.Metadata.ResourceVersion))
	if err != nil {
		s.fail(c, err)
		return
	}
	answer(c, code, wireObject(c, platform.Object{Key: key, Revision: revision, Value: o.Spec}))
}

func (s *Server) delete(ctx context.Context, c *app.RequestContext) {
	var options rest.DeleteOptions
	if err := json.Unmarshal(c.Request.Body(), &options); err != nil || options.Preconditions.ResourceVersion == "" {
		s.refuse(c, http.StatusBadRequest, rest.ReasonBadRequest, "a delete has a precondition on resourceVersion")
		return
	}
	err := s.store.Delete(ctx, storeKey(c), platform.Revision(options.Preconditions.ResourceVersion))
	if err != nil {
		s.fail(c, err)
		return
	}
	answer(c, http.StatusOK, rest.Status{APIVersion: "v1", Kind: "Status", Status: "Success", Code: http.StatusOK})
}

// requestObject reads the object in the request's body.
func (s *Server) requestObject(c *app.RequestContext) (rest.Object, bool) {
	var o rest.Object
	if err := json.Unmarshal(c.Request.Body(), &o); err != nil {
		s.refuse(c, http.StatusBadRequest, rest.ReasonBadRequest, err.Error())
		return rest.Object{}, false
	}
	if o.APIVersion != rest.APIVersion || len(o.Spec) == 0 {
		s.refuse(c, http.StatusBadRequest, rest.ReasonBadRequest, "an object has apiVersion "+rest.APIVersion+" and a spec")
		return rest.Object{}, false
	}
	return o, true
}

// fail answers with the status for an error of the store. An unknown outcome is
// no answer at all: the connection is cut.
func (s *Server) fail(c *app.RequestContext, err error) {
	if errors.Is(err, platform.ErrUnknownOutcome) {
		_ = c.GetConn().Close()
		return
	}
	code, reason := statusOf(err)
	if code == http.StatusTooManyRequests {
		c.Header("Retry-After", "1")
	}
	s.refuse(c, code, reason, err.Error())
}

func (s *Server) refuse(c *app.RequestContext, code int, reason, message string) {
	answer(c, code, rest.NewStatus(code, reason, message))
}

func answer(c *app.RequestContext, code int, v any) {
	raw, err := rest.Encode(v)
	if err != nil {
		c.String(http.StatusInternalServerError, "%v\n", err)
		return
	}
	c.Data(code, "application/json", raw)
}

func statusOf(err error) (code int, reason string) {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return http.StatusNotFound, rest.ReasonNotFound
	case errors.Is(err, platform.ErrConflict):
		return http.StatusConflict, rest.ReasonConflict
	case errors.Is(err, platform.ErrCompacted):
		return http.StatusGone, rest.ReasonExpired
	case errors.Is(err, platform.ErrTooLarge):
		return http.StatusRequestEntityTooLarge, rest.ReasonTooLarge
	case errors.Is(err, platform.ErrRateLimited):
		return http.StatusTooManyRequests, rest.ReasonTooManyRequests
	case errors.Is(err, platform.ErrUnavailable):
		return http.StatusServiceUnavailable, rest.ReasonUnavailable
	}
	return http.StatusBadRequest, rest.ReasonBadRequest
}
