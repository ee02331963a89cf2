#include "process/pool_impl.h"
#include "base/metrics.h"

#include <stdlib.h>
#include <string.h>

SEAM_METRIC(commits, "seam_pool_commits_total", "Commits of pool rows.");
SEAM_METRIC(conflicts, "seam_pool_conflicts_total",
	    "Commits of pool rows refused because a row had changed.");
SEAM_METRIC(failures, "seam_pool_commit_failures_total",
	    "Commits of pool rows that the store did not confirm.");

/* Also called after an unknown outcome: the rows may have changed. */
static void send_hints(struct seam_pools *ps, const struct seam_batch *b)
{
	guint i;

	for (i = 0; ps->env.send_hint && i < b->write->len; i++) {
		const struct seam_write *w =
			&g_array_index(b->write, struct seam_write, i);

		if (w->op == SEAM_PUT && (g_str_has_prefix(w->key, "pool/") ||
					  g_str_has_prefix(w->key, "wave/")))
			ps->env.send_hint(ps->env.hint_context, w->key);
	}
}

void seam_batch_init(struct seam_batch *b)
{
	b->write = g_array_new(FALSE, TRUE, sizeof(struct seam_write));
	b->strings = g_ptr_array_new_with_free_func(free);
}

void seam_batch_add(struct seam_batch *b, enum seam_op op, char *key,
		    uint64_t version, char *data)
{
	struct seam_write w = {.op = op, .key = key, .version = version};

	g_ptr_array_add(b->strings, key);
	if (data) {
		g_ptr_array_add(b->strings, data);
		w.data = data;
		w.len = strlen(data);
	}
	g_array_append_val(b->write, w);
}

/* The empty row under pool-version/ gets the same version, for pollers. */
void seam_batch_add_row(struct seam_batch *b, const struct seam_pool_row *r)
{
	seam_batch_add(b, SEAM_PUT, g_strconcat("pool/", r->name, NULL),
		       r->version, seam_pool_row_write(r));
	seam_batch_add(b, SEAM_PUT, g_strconcat("pool-version/", r->name, NULL),
		       SEAM_ANY_VERSION, strdup(""));
}

int seam_batch_commit(struct seam_pools *ps, struct seam_batch *b,
		      uint64_t *version, seam_time now, struct seam_err *e)
{
	struct seam_commit c = {
		.write = (const struct seam_write *)b->write->data,
		.n = b->write->len,
	};

	if (seam_store_commit_retry(ps->env.store, ps->env.clock, &c,
				    now + SEAM_POOL_TIMEOUT, e)) {
		seam_metric_add(
			e->kind == SEAM_CONFLICT ? &conflicts : &failures, 1);
		if (e->kind == SEAM_COMMIT_UNKNOWN)
			send_hints(ps, b);
		/* After a conflict, newer rows are found in the index. */
		__atomic_store_n(&ps->index_at, 0, __ATOMIC_RELEASE);
		return -1;
	}
	seam_metric_add(&commits, 1);
	send_hints(ps, b);
	*version = c.version;
	return 0;
}

void seam_batch_free(struct seam_batch *b)
{
	g_array_free(b->write, TRUE);
	g_ptr_array_free(b->strings, TRUE);
}
