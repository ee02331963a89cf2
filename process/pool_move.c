#include "process/pool_impl.h"
#include "base/metrics.h"
#include "base/log.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* VMs adopted in one commit; stays below SEAM_COMMIT_MAX. */
#define ADOPT_MAX 200
/* The same when each VM costs a read of vm/ID. */
#define ADOPT_CHECKED_MAX 16

SEAM_METRIC(moves, "seam_pool_moves_total", "VMs that changed their pool.");
SEAM_METRIC(adopted, "seam_pool_adopted_total",
	    "VMs of the platform's list that were taken into a pool.");

static char *vm_key(const char *vm)
{
	return g_strconcat("vm/", vm, NULL);
}

static char *vm_row_json(const char *pool, int64_t move)
{
	struct json_object *o = json_object_new_object();
	char *text;

	json_object_object_add(o, "pool", json_object_new_string(pool));
	json_object_object_add(o, "move", json_object_new_int64(move));
	text = strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return text;
}

static bool vm_row_exists(struct seam_pool_pass_state *w, const char *vm)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row = {.data = NULL};
	char *key = vm_key(vm);
	int rc = seam_store_get(w->ps->env.store, key, &row,
				w->now + SEAM_POOL_TIMEOUT, &e);

	free(key);
	seam_row_free(&row);
	return !rc || e.kind != SEAM_NOT_FOUND;
}

static void adopt_vm(struct seam_pool_pass_state *w, const struct seam_vm *vm)
{
	struct seam_pool_vm m = {
		.state = SEAM_MEMBER_ACTIVE,
		.until = SEAM_NEVER,
		.maintain_by = seam_first_maintenance(vm->rack, w->now),
		.maintained = w->now,
		.boot = vm->boot,
	};

	memcpy(m.vm, vm->id, sizeof(m.vm));
	memcpy(m.rack, vm->rack, sizeof(m.rack));
	memcpy(m.dc, vm->dc, sizeof(m.dc));
	m.out = seam_conf_dc_out(w->conf, vm->dc);
	if (!seam_pool_add(&w->next, &m))
		return;
	seam_batch_add(&w->batch, SEAM_PUT, vm_key(m.vm), SEAM_ABSENT,
		       vm_row_json(w->next.name, 1));
	w->changed = true;
	w->adopted = true;
	seam_metric_add(&adopted, 1);
}

void seam_pool_adopt(struct seam_pool_pass_state *w)
{
	int left = w->p->check_new ? ADOPT_CHECKED_MAX : ADOPT_MAX;
	GArray *own = g_array_new(FALSE, FALSE, sizeof(struct seam_vm));
	guint i;

	if (!w->rules.list_ok || !w->pc) {
		g_array_free(own, TRUE);
		return;
	}
	pthread_mutex_lock(&w->ps->lock);
	for (i = 0; i < w->ps->orphans->len && left; i++) {
		struct seam_vm *vm =
			&g_array_index(w->ps->orphans, struct seam_vm, i);

		if (strcmp(vm->pool, w->next.name) ||
		    vm->state == SEAM_VM_LEAVING)
			continue;
		g_array_append_val(own, *vm);
		left--;
	}
	pthread_mutex_unlock(&w->ps->lock);
	for (i = 0; i < own->len; i++) {
		struct seam_vm *vm = &g_array_index(own, struct seam_vm, i);

		if (!w->p->check_new || !vm_row_exists(w, vm->id))
			adopt_vm(w, vm);
	}
	w->p->check_new = false;
	g_array_free(own, TRUE);
}

/* Reads version and move number of vm/ID; false unless its pool is @v->from. */
static bool read_vm_row(struct seam_pool_pass_state *w,
			const struct seam_vm_move *v, uint64_t *version,
			int64_t *move)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row = {.data = NULL};
	struct json_object *o = NULL;
	char *key = vm_key(v->vm);
	bool ok = false;

	if (!seam_store_get(w->ps->env.store, key, &row,
			    w->now + SEAM_POOL_TIMEOUT, &e))
		o = json_tokener_parse(row.data);
	if (o) {
		ok = !strcmp(seam_json_str(o, "pool", ""), v->from);
		*version = row.version;
		*move = seam_json_int(o, "move", 0);
	}
	json_object_put(o);
	seam_row_free(&row);
	free(key);
	return ok;
}

static int commit_arrival(struct seam_pool_pass_state *w,
			  const struct seam_vm_move *v,
			  struct seam_pool_row *from, struct seam_pool_vm *m,
			  const struct seam_vm *vm)
{
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_pool_vm in = *m;
	struct seam_batch b;
	uint64_t version = 0;
	int64_t move = 0;
	int rc = -1;

	if (!read_vm_row(w, v, &version, &move))
		return -1;
	in.state = SEAM_MEMBER_JOINING;
	in.why = SEAM_WHY_MOVE;
	in.until = w->now + SEAM_REBOOT_TIMEOUT;
	in.to[0] = '\0';
	in.boot = vm->boot;
	in.maintained = w->now;
	in.maintain_by = w->now + SEAM_MAINTENANCE_PERIOD;
	if (!seam_pool_add(&w->next, &in))
		return -1;
	seam_pool_remove(from, v->vm);
	seam_batch_init(&b);
	seam_batch_add_row(&b, &w->next);
	seam_batch_add_row(&b, from);
	seam_batch_add(&b, SEAM_PUT, vm_key(v->vm), version,
		       vm_row_json(w->next.name, move + 1));
	if (!seam_batch_commit(w->ps, &b, &w->next.version, w->now, &e)) {
		from->version = w->next.version;
		seam_metric_add(&moves, 1);
		seam_log(SEAM_INFO, "pool", "VM %s moved from %s to %s.", v->vm,
			 v->from, v->to);
		rc = 0;
	}
	seam_batch_free(&b);
	return rc;
}

/* Moves one VM into the pool; a commit updates @w and the known rows. */
static int try_arrival(struct seam_pool_pass_state *w,
		       const struct seam_vm_move *v)
{
	const struct seam_vm *vm = seam_vm_list_find(w->list, v->vm);
	struct seam_pool *fp = seam_pools_get_or_add(w->ps, v->from);
	struct seam_pool_row from;
	struct seam_pool_vm *m;
	int rc = 0;

	if (!vm || vm->state == SEAM_VM_LEAVING || !fp ||
	    seam_pool_get_row(w->ps, v->from, &from))
		return 0;
	m = seam_pool_member(&from, v->vm);
	if (m && m->state == SEAM_MEMBER_REBOOTING &&
	    !strcmp(m->to, w->next.name) && vm->boot > m->boot) {
		rc = commit_arrival(w, v, &from, m, vm);
		if (!rc) {
			seam_pool_set_row(fp, &from);
			seam_pool_set_row(w->p, &w->next);
			seam_pool_row_free(&w->old);
			rc = seam_pool_row_copy(&w->old, &w->next);
		}
	}
	seam_pool_row_free(&from);
	return rc;
}

int seam_pool_accept_arrivals(struct seam_pool_pass_state *w)
{
	GArray *in = g_array_new(FALSE, FALSE, sizeof(struct seam_vm_move));
	int rc = 0;
	guint i;

	pthread_mutex_lock(&w->ps->lock);
	for (i = 0; w->pc && i < w->ps->moving->len; i++) {
		struct seam_vm_move *v =
			&g_array_index(w->ps->moving, struct seam_vm_move, i);

		if (!strcmp(v->to, w->next.name))
			g_array_append_val(in, *v);
	}
	pthread_mutex_unlock(&w->ps->lock);
	for (i = 0; i < in->len && !rc; i++)
		rc = try_arrival(w, &g_array_index(in, struct seam_vm_move, i));
	g_array_free(in, TRUE);
	return rc;
}
