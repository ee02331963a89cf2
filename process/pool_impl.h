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
 * The VM list, shared by passes and readers; counted references. Its content
 * changes under the lock of the pools, and only while nobody else holds it.
 */
struct seam_vm_list {
	int refs;
	seam_time as_of;
	char cursor[SEAM_CURSOR_MAX]; /* empty: read the whole list */
	struct seam_table *table; /* struct seam_vm */
	GHashTable *by_id; /* id, in the entry, to the bits of its handle */
};

/* A member on its way to another pool. */
struct seam_moving {
	char from[64];
	char to[64];
	char vm[64];
};

/* A row that could not be read; the one read before stays in force. */
struct seam_pool_bad {
	bool damaged;
	uint64_t version; /* SEAM_ABSENT if the row is gone */
};

struct seam_pool {
	struct seam_pools *ps;
	char name[64];
	struct seam_pool_row row;
	struct seam_wave_order wave;
	bool forecast_known; /* pool-forecast/NAME was read as its owner */
	seam_time forecast_saved; /* time of the stored forecast */
	struct seam_pool_bad bad[2]; /* of the row, of the wave row */
	uint64_t indexed; /* version that polls have seen or this node wrote */
	seam_time verify_at; /* as owner: read the row itself */
	bool conflict; /* read both rows now */
	bool rewrite; /* the row was written without the one that polls see */
	bool hinted; /* another node changed the row */
	bool wave_hinted;
	bool check_new; /* a commit with new VMs conflicted: read vm/ID first */
};

struct seam_pools {
	struct seam_pools_env env;
	pthread_mutex_t lock;
	GHashTable *pool; /* name to struct seam_pool */
	struct seam_vm_list *list;
	uint64_t changes; /* of the list's content and of pool rows */
	pthread_mutex_t publish_lock; /* taken before the lock */
	struct {
		uint64_t changes;
		uint64_t conf;
		uint64_t fleet;
	} published; /* what the fleet was last built from, and its count */
	GArray *orphans; /* struct seam_vm without a pool row; .pool decided */
	GArray *moving; /* struct seam_moving */
	seam_time
		forecasts_read_at; /* next read of all, as the spare's owner */
	seam_time forecasts_save_at;
	seam_time index_at; /* the index is read from then on; 0: at once */
	uint64_t gaps; /* when the index was last read */
	seam_time first_poll;
	seam_time polling_at; /* latest poll */
	seam_time polled_at; /* latest poll that read all changed rows */
};

/* Operations of one commit with the texts that they point to. */
struct seam_batch {
	GArray *write;
	GPtrArray *own;
};

void seam_batch_init(struct seam_batch *b);
void seam_batch_add(struct seam_batch *b, enum seam_op op, char *key,
		    uint64_t version, char *data);
void seam_batch_row(struct seam_batch *b, const struct seam_pool_row *r);
int seam_batch_commit(struct seam_pools *ps, struct seam_batch *b,
		      uint64_t *version, seam_time now, struct seam_err *e);
void seam_batch_free(struct seam_batch *b);

/* State of one pass over one pool. */
struct seam_pool_work {
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
	bool began; /* planned work began in this pass */
	bool adopted;
};

/* True if another thread of the process polled just now. */
bool seam_pools_polled(struct seam_pools *ps, seam_time now);

struct seam_vm_list *seam_vm_list_hold(struct seam_pools *ps);
void seam_vm_list_drop(struct seam_vm_list *l);

/* Time of the list; 0 for NULL. */
seam_time seam_vm_list_as_of(const struct seam_vm_list *l);
const struct seam_vm *seam_vm_list_find(const struct seam_vm_list *l,
					const char *vm);

/* The pool of kind spare, or NULL. */
const struct seam_pool_conf *seam_pool_spare(const struct seam_conf *c);

/* Reads the forecast of a pool that this node has begun to own. */
int seam_pool_forecast_load(struct seam_pool *p, seam_time now);

/* The owner of the spare pool sizes it by the forecasts of all pools. */
void seam_forecasts_refresh(struct seam_pools *ps, const GPtrArray *own,
			    seam_time now);

/* Stores the forecasts of the owned pools, once a minute. */
void seam_forecasts_save(struct seam_pools *ps, const GPtrArray *own,
			 seam_time now);

void seam_pool_mark_out(struct seam_pool_row *r, const struct seam_conf *c);
void seam_pool_adopt(struct seam_pool_work *w);
int seam_pool_arrivals(struct seam_pool_work *w);
void seam_pool_resize(struct seam_pool_work *w);
void seam_pool_effects(struct seam_pool_work *w);
void seam_pool_invariants(const struct seam_pool_row *old,
			  const struct seam_pool_row *next,
			  const struct seam_pool_rules *rules);
void seam_pool_keep(struct seam_pool *p, const struct seam_pool_row *r);

/* The lock is held. */
struct seam_pool *seam_pools_get_locked(struct seam_pools *ps,
					const char *name);

/* This node wrote the row and the one that polls see, at @version. */
void seam_pool_indexed(struct seam_pool *p, uint64_t version);

/* Reads the row, or the wave row; a damaged one is noted and is no error. */
int seam_pool_fetch(struct seam_pools *ps, struct seam_pool *p, bool wave,
		    seam_time now, struct seam_err *e);

/* True if the index has a later version than this node; finds the pool. */
bool seam_pool_newer(struct seam_pools *ps, const char *name, bool wave,
		     uint64_t version, struct seam_pool **p);

/* Called by the owner: reads the row itself, when it is due. */
void seam_pool_verify(struct seam_pool *p, seam_time now);
seam_time seam_pool_drain_limit(const struct seam_pool_work *w);
struct seam_drain *seam_pool_drain(const struct seam_pool_work *w);

#ifdef __cplusplus
}
#endif
#endif
