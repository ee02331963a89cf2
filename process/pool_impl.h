#ifndef SEAM_POOL_IMPL_H
#define SEAM_POOL_IMPL_H

#include "base/table.h"
#include "process/pool.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_POOL_TIMEOUT (3 * SEAM_SEC)

/*
 * The VM list, shared by passes and readers; reference counted. Its content
 * changes only under the lock of the pools and without other references.
 */
struct seam_vm_list {
	int refs;
	seam_time as_of;
	char cursor[SEAM_CURSOR_MAX]; /* empty: the next read is a full read */
	struct seam_table *table; /* struct seam_vm */
	GHashTable *by_id; /* id (stored in the entry) to handle bits */
};

/* A member that is moving to another pool. */
struct seam_vm_move {
	char from[64];
	char to[64];
	char vm[64];
};

/* State of a row that can't be read; the last valid row stays in effect. */
struct seam_pool_damage {
	bool damaged;
	uint64_t version; /* SEAM_ABSENT if the row was deleted */
};

struct seam_pool {
	struct seam_pools *ps;
	char name[64];
	struct seam_pool_row row;
	struct seam_wave_order wave;
	bool forecast_known; /* the owner has read pool-forecast/NAME */
	seam_time forecast_saved; /* time of the stored forecast */
	struct seam_pool_damage bad[2]; /* of the pool row, of the wave row */
	uint64_t indexed; /* version in the index, as last polled or written */
	seam_time verify_at; /* next time that the owner reads the row itself */
	bool conflict; /* a commit conflicted: read both rows at once */
	bool rewrite; /* the row was written without its pool-version/ row */
	bool hinted; /* a hint for the pool row is pending */
	bool wave_hinted; /* a hint for the wave row is pending */
	bool check_new; /* a commit with new VMs conflicted: read vm/ID first */
};

struct seam_pools {
	struct seam_pools_env env;
	pthread_mutex_t lock;
	GHashTable *pool; /* name to struct seam_pool */
	struct seam_vm_list *list;
	uint64_t changes; /* counts changes of the VM list and of pool rows */
	pthread_mutex_t publish_lock; /* acquired before lock */
	struct {
		uint64_t changes;
		uint64_t conf;
		uint64_t fleet;
	} published; /* versions of the inputs of the last fleet, and its own */
	GArray *orphans; /* struct seam_vm in no row; .pool: pool to join */
	GArray *moving; /* struct seam_vm_move */
	seam_time forecasts_read_at; /* next full read by the spare's owner */
	seam_time forecasts_save_at;
	seam_time index_at; /* next read of the index; 0: at once */
	uint64_t hint_gaps; /* env.hint_gaps() at last index read */
	seam_time first_poll;
	seam_time polling_at; /* start of the latest poll */
	seam_time polled_at; /* latest poll that read all changed rows */
};

/* Operations of one commit; owns their keys and data. */
struct seam_batch {
	GArray *write;
	GPtrArray *strings;
};

void seam_batch_init(struct seam_batch *b);
void seam_batch_add(struct seam_batch *b, enum seam_op op, char *key,
		    uint64_t version, char *data);
void seam_batch_add_row(struct seam_batch *b, const struct seam_pool_row *r);
int seam_batch_commit(struct seam_pools *ps, struct seam_batch *b,
		      uint64_t *version, seam_time now, struct seam_err *e);
void seam_batch_free(struct seam_batch *b);

/* State of one pass over a pool. */
struct seam_pool_pass_state {
	struct seam_pool *p;
	struct seam_pools *ps;
	struct seam_conf *conf;
	const struct seam_pool_conf *pc; /* NULL: no longer configured */
	struct seam_vm_list *list; /* NULL before the first list */
	struct seam_pool_row old;
	struct seam_pool_row next;
	struct seam_wave_order wave;
	struct seam_pool_rules rules;
	struct seam_batch batch;
	seam_time now;
	bool changed;
	bool began; /* the pass started planned work */
	bool adopted;
};

/* True if another thread of the process has just polled all changed rows. */
bool seam_pools_polled_recently(struct seam_pools *ps, seam_time now);

struct seam_vm_list *seam_vm_list_ref(struct seam_pools *ps);
void seam_vm_list_unref(struct seam_vm_list *l);

/* Time at which the list was current; 0 for NULL. */
seam_time seam_vm_list_as_of(const struct seam_vm_list *l);
const struct seam_vm *seam_vm_list_find(const struct seam_vm_list *l,
					const char *vm);

/* The spare pool, or NULL. */
const struct seam_pool_conf *seam_spare_pool_conf(const struct seam_conf *c);

/* Reads the forecast of a pool that this node has started to own. */
int seam_pool_forecast_load(struct seam_pool *p, seam_time now);

/* Reads all forecasts, by which the owner of the spare pool sizes it. */
void seam_forecasts_refresh(struct seam_pools *ps, const GPtrArray *owned,
			    seam_time now);

/* Stores the forecasts of the owned pools, once a minute. */
void seam_forecasts_save(struct seam_pools *ps, const GPtrArray *owned,
			 seam_time now);

void seam_pool_mark_evacuated(struct seam_pool_row *r,
			      const struct seam_conf *c);
void seam_pool_adopt(struct seam_pool_pass_state *w);
int seam_pool_accept_arrivals(struct seam_pool_pass_state *w);
void seam_pool_resize(struct seam_pool_pass_state *w);
void seam_pool_apply_effects(struct seam_pool_pass_state *w);
void seam_pool_check_invariants(const struct seam_pool_row *old,
				const struct seam_pool_row *next,
				const struct seam_pool_rules *rules);
void seam_pool_set_row(struct seam_pool *p, const struct seam_pool_row *r);

/* The caller holds the lock. */
struct seam_pool *seam_pools_get_or_add_locked(struct seam_pools *ps,
					       const char *name);

/* Records that the index has @version of the row. */
void seam_pool_set_indexed(struct seam_pool *p, uint64_t version);

/*
 * Reads the pool row or the wave row. A damaged row is recorded as such and is
 * not an error.
 */
int seam_pool_fetch(struct seam_pools *ps, struct seam_pool *p, bool wave,
		    seam_time now, struct seam_err *e);

/*
 * Records @version, which the index has of a row. True if it is newer than the
 * row read by this node. Sets @p to the pool, or NULL.
 */
bool seam_pool_has_newer(struct seam_pools *ps, const char *name, bool wave,
			 uint64_t version, struct seam_pool **p);

/* Reads the row itself if a check is due; called by the owner. */
void seam_pool_verify(struct seam_pool *p, seam_time now);
seam_time seam_pool_drain_limit(const struct seam_pool_pass_state *w);
struct seam_drain *seam_pool_drain(const struct seam_pool_pass_state *w);

#ifdef __cplusplus
}
#endif
#endif
