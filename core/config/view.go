package config

// View is an immutable copy of the objects at one revision, as every instance
// follows it.
type View struct {
	revision uint64
	objects  map[Ref]Object
}

// NewView returns a view of the given objects.
func NewView(revision uint64, objects []Object) *View {
	v := &View{revision: revision, objects: make(map[Ref]Object, len(objects))}
	for _, o := range objects {
		v.objects[o.ref] = o
	}
	return v
}

// Revision returns the view's revision.
func (v *View) Revision() uint64 { return v.revision }

// Get returns an object that exists in the view.
func (v *View) Get(ref Ref) (Object, bool) {
	o, ok := v.objects[ref]
	return o, ok && !o.deleted
}

// Objects returns all objects, deleted ones included, in no order.
func (v *View) Objects() []Object {
	objects := make([]Object, 0, len(v.objects))
	for _, o := range v.objects {
		objects = append(objects, o)
	}
	return objects
}

// Advance returns the view at a higher revision with the changed objects put
// in. A lower or equal revision returns the view itself, so that a late or
// repeated update never takes effect.
func (v *View) Advance(revision uint64, changed []Object) *View {
	if revision <= v.revision {
		return v
	}
	next := &View{revision: revision, objects: make(map[Ref]Object, len(v.objects)+len(changed))}
	for ref, o := range v.objects {
		next.objects[ref] = o
	}
	for _, o := range changed {
		if o.revision > next.objects[o.ref].revision {
			next.objects[o.ref] = o
		}
	}
	return next
}
