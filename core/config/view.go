package config

// View is an immutable copy of the objects at one revision. Every instance has
// one.
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

// Get returns an object and whether it exists and is not deleted.
func (v *View) Get(ref Ref) (Object, bool) {
	o, ok := v.objects[ref]
	return o, ok && !o.deleted
}

// Objects returns all objects, including deleted ones, in no particular order.
func (v *View) Objects() []Object {
	objects := make([]Object, 0, len(v.objects))
	for _, o := range v.objects {
		objects = append(objects, o)
	}
	return objects
}

// Advance returns a view at a higher revision that includes the changed objects.
// For a lower or equal revision it returns v itself, so a late or repeated update
// has no effect.
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
