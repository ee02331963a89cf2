#include "process/fleet.h"

#include <pthread.h>
#include <stdbool.h>
#include <string.h>

struct seam_fleet {
	pthread_mutex_t lock;
	struct seam_fleet_vm *vm;
	size_t n;
	seam_time as_of;
	uint64_t changes;
};

struct seam_fleet *seam_fleet_new(void)
{
	struct seam_fleet *f = calloc(1, sizeof(*f));

	if (f)
		pthread_mutex_init(&f->lock, NULL);
	return f;
}

void seam_fleet_free(struct seam_fleet *f)
{
	if (!f)
		return;
	pthread_mutex_destroy(&f->lock);
	free(f->vm);
	free(f);
}

/* The lock is held. */
static bool is_same(const struct seam_fleet *f, const struct seam_fleet_vm *vm,
		    size_t n)
{
	return n == f->n && n && !memcmp(vm, f->vm, n * sizeof(*vm));
}

uint64_t seam_fleet_adopt(struct seam_fleet *f, struct seam_fleet_vm *vm,
			  size_t n, seam_time as_of)
{
	uint64_t changes;

	pthread_mutex_lock(&f->lock);
	f->as_of = as_of;
	if (!is_same(f, vm, n)) {
		struct seam_fleet_vm *old = f->vm;

		f->vm = vm;
		f->n = n;
		f->changes++;
		vm = old;
	}
	changes = f->changes;
	pthread_mutex_unlock(&f->lock);
	free(vm);
	return changes;
}

void seam_fleet_set(struct seam_fleet *f, const struct seam_fleet_vm *vm,
		    size_t n, seam_time as_of)
{
	struct seam_fleet_vm *copy = calloc(n + 1, sizeof(*copy));

	if (!copy)
		return;
	if (n)
		memcpy(copy, vm, n * sizeof(*copy));
	seam_fleet_adopt(f, copy, n, as_of);
}

void seam_fleet_confirm(struct seam_fleet *f, seam_time as_of)
{
	pthread_mutex_lock(&f->lock);
	f->as_of = as_of;
	pthread_mutex_unlock(&f->lock);
}

uint64_t seam_fleet_changes(struct seam_fleet *f, seam_time *as_of)
{
	uint64_t n;

	pthread_mutex_lock(&f->lock);
	*as_of = f->as_of;
	n = f->changes;
	pthread_mutex_unlock(&f->lock);
	return n;
}

struct seam_fleet_vm *seam_fleet_copy(struct seam_fleet *f, const char *pool,
				      size_t *n, seam_time *as_of)
{
	struct seam_fleet_vm *out;
	size_t i;

	*n = 0;
	pthread_mutex_lock(&f->lock);
	if (as_of)
		*as_of = f->as_of;
	out = f->n ? malloc(f->n * sizeof(*out)) : NULL;
	for (i = 0; out && i < f->n; i++)
		if (!pool || !strcmp(f->vm[i].vm.pool, pool))
			out[(*n)++] = f->vm[i];
	pthread_mutex_unlock(&f->lock);
	if (!*n) {
		free(out);
		out = NULL;
	}
	return out;
}
