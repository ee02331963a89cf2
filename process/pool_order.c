#include "process/pool_impl.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

int seam_wave_get_order(struct seam_pools *ps, const char *pool,
			struct seam_wave_order *w, seam_time now,
			struct seam_err *e)
{
	struct seam_row row = {.data = NULL};
	char *key = g_strconcat("wave/", pool, NULL);
	int rc = seam_store_get(ps->env.store, key, &row,
				now + SEAM_POOL_TIMEOUT, e);

	g_free(key);
	memset(w, 0, sizeof(*w));
	if (rc && e->kind == SEAM_NOT_FOUND) {
		seam_err_clear(e);
		return 0;
	}
	if (rc)
		return -1;
	rc = seam_wave_read(row.data, w, e);
	w->version = row.version;
	seam_row_free(&row);
	return rc;
}

static int check_order(struct seam_pools *ps, const char *pool,
		       const struct seam_wave_order *w, struct seam_err *e)
{
	struct seam_conf *c = seam_conf_current(ps->env.conf);
	bool known = seam_conf_lookup(c, SEAM_CONF_POOL, pool);

	seam_conf_unref(c);
	if (!known)
		return seam_fail(e, SEAM_NOT_FOUND, "no pool %s", pool);
	if (!*w->reason || !*w->operator_name)
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "reason and operator are required");
	if (w->order != SEAM_WAVE_ORDER_START &&
	    w->order != SEAM_WAVE_ORDER_HALT)
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "order must be start or halt");
	return 0;
}

int seam_wave_set_order(struct seam_pools *ps, const char *pool,
			struct seam_wave_order *w, seam_time now,
			struct seam_err *e)
{
	struct seam_wave_order old;
	struct seam_batch b;
	int rc;

	if (check_order(ps, pool, w, e) ||
	    seam_wave_get_order(ps, pool, &old, now, e))
		return -1;
	if (w->version != SEAM_ANY_VERSION && w->version != old.version)
		return seam_fail(e, SEAM_CONFLICT,
				 "pool %s: another order came first", pool);
	w->given = now;
	w->started = w->order == SEAM_WAVE_ORDER_START ? now : old.started;
	seam_batch_init(&b);
	seam_batch_add(&b, SEAM_PUT, g_strconcat("wave/", pool, NULL),
		       old.version, seam_wave_write(w));
	seam_batch_add(&b, SEAM_PUT,
		       g_strconcat("pool-version/", pool, "/wave", NULL),
		       SEAM_ANY_VERSION, strdup(""));
	rc = seam_batch_commit(ps, &b, &w->version, now, e);
	seam_batch_free(&b);
	if (!rc)
		seam_log(SEAM_INFO, "pool", "Pool %s: wave order %s by %s: %s.",
			 pool,
			 w->order == SEAM_WAVE_ORDER_START ? "start" : "halt",
			 w->operator_name, w->reason);
	return rc;
}
