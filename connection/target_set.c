#include "connection/target_impl.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

struct seam_targets *seam_targets_new(struct seam_clock *k)
{
	struct seam_targets *ts = calloc(1, sizeof(*ts));

	if (!ts)
		return NULL;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	ts->clock = k;
	ts->table = seam_table_new(sizeof(struct seam_target));
	ts->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	ts->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       seam_target_service_free);
	pthread_mutex_init(&ts->lock, NULL);
	return ts;
}

void seam_targets_free(struct seam_targets *ts)
{
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_target *t;

	if (!ts)
		return;
	while ((t = seam_table_next(ts->table, &h)))
		seam_target_close_idle(t);
	g_hash_table_destroy(ts->by_id);
	g_hash_table_destroy(ts->by_service);
	seam_table_free(ts->table);
	pthread_mutex_destroy(&ts->lock);
	free(ts);
	curl_global_cleanup();
}

struct seam_table *seam_targets_lock(struct seam_targets *ts)
{
	pthread_mutex_lock(&ts->lock);
	return ts->table;
}

void seam_targets_unlock(struct seam_targets *ts)
{
	pthread_mutex_unlock(&ts->lock);
}

static void remove_target(struct seam_targets *ts, struct seam_target *t)
{
	seam_target_detach(t);
	seam_target_close_idle(t);
	g_hash_table_remove(ts->by_id, t->info.id);
	seam_table_del(ts->table, t->self);
}

static struct seam_target *add_target(struct seam_targets *ts,
				      const struct seam_target_info *info)
{
	struct seam_handle h;
	struct seam_target *t = seam_table_add(ts->table, &h);

	if (!t)
		return NULL;
	t->self = h;
	t->info = *info;
	if (!seam_target_attach(ts, t)) {
		seam_table_del(ts->table, h);
		return NULL;
	}
	g_hash_table_insert(ts->by_id, t->info.id, t);
	return t;
}

static bool same_index_entry(const struct seam_target *t,
			     const struct seam_target_info *info)
{
	return t->info.leaving == info->leaving &&
	       t->info.slots == info->slots && !strcmp(t->info.dc, info->dc) &&
	       !strcmp(t->info.service, info->service);
}

static void update_target(struct seam_targets *ts, struct seam_target *t,
			  const struct seam_target_info *info)
{
	if (strcmp(t->info.addr, info->addr))
		seam_target_close_idle(t);
	if (same_index_entry(t, info)) {
		t->info = *info;
		seam_target_update_index(t);
		return;
	}
	seam_target_detach(t);
	t->info = *info;
	if (!seam_target_attach(ts, t))
		t->info.leaving = true;
}

static void set_leaving(struct seam_target *t)
{
	if (t->info.leaving)
		return;
	if (t->service)
		seam_target_count_member(t, -1);
	t->info.leaving = true;
	if (t->service)
		seam_target_end_ejection(t);
	seam_target_update_index(t);
}

bool seam_targets_set(struct seam_targets *ts,
		      const struct seam_target_info *info, size_t n)
{
	struct seam_table *table = seam_targets_lock(ts);
	bool remains = false;
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_target *t;
	size_t i;

	ts->list_number++;
	for (i = 0; i < n; i++) {
		t = g_hash_table_lookup(ts->by_id, info[i].id);
		if (t)
			update_target(ts, t, &info[i]);
		else
			t = add_target(ts, &info[i]);
		if (!t)
			break;
		t->list_number = ts->list_number;
	}
	while ((t = seam_table_next(table, &h))) {
		if (t->list_number == ts->list_number)
			continue;
		set_leaving(t);
		if (t->outstanding)
			remains = true;
		else
			remove_target(ts, t);
	}
	seam_targets_unlock(ts);
	return remains;
}

bool seam_targets_set_peer_load(struct seam_targets *ts, const char *id,
				int load)
{
	struct seam_target *t;

	seam_targets_lock(ts);
	t = g_hash_table_lookup(ts->by_id, id);
	if (t)
		seam_target_set_peer_load(t, load);
	seam_targets_unlock(ts);
	return t != NULL;
}
