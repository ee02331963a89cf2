#include "connection/peer.h"

#include <mpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEAD_BYTES 512 /* all that is not text or load */
#define LOAD_BYTES 80 /* one entry of the load */

static const char *const kinds[SEAM_MSG_KINDS] = {
	"beat", "change", "snapshot_get", "snapshot", "hint"};

void seam_msg_free(struct seam_msg *m)
{
	free(m->text);
	free(m->load);
	m->text = NULL;
	m->load = NULL;
	m->loads = 0;
}

struct out {
	mpack_tokbuf_t tb;
	char *at;
	size_t left;
	bool full;
};

static void put(struct out *o, mpack_token_t t)
{
	if (mpack_write(&o->tb, &o->at, &o->left, &t) != MPACK_OK)
		o->full = true;
}

static void put_str(struct out *o, const char *s)
{
	mpack_uint32_t n = (mpack_uint32_t)strlen(s);

	put(o, mpack_pack_str(n));
	if (n)
		put(o, mpack_pack_chunk(s, n));
}

static void put_num(struct out *o, const char *name, uint64_t v)
{
	put_str(o, name);
	put(o, mpack_pack_uint(v));
}

static void put_text(struct out *o, const char *name, const char *v)
{
	put_str(o, name);
	put_str(o, v);
}

static void put_body(struct out *o, const struct seam_msg *m)
{
	size_t i;

	put(o, mpack_pack_map(9));
	put_num(o, "ver", m->version);
	put_num(o, "conf", (uint64_t)m->confirmed_at);
	put_num(o, "sent", (uint64_t)m->sent_at);
	put_num(o, "store", (uint64_t)m->store_at);
	put_num(o, "uns", m->unsettled);
	put_num(o, "next", m->next);
	if (m->kind == SEAM_MSG_SNAPSHOT_GET)
		put_text(o, "addr", m->addr);
	else
		put_num(o, "base", m->base);
	put_text(o, "text", m->text ? m->text : "");
	put_str(o, "load");
	put(o, mpack_pack_map((mpack_uint32_t)m->loads));
	for (i = 0; i < m->loads; i++)
		put_num(o, m->load[i].target, m->load[i].load);
}

char *seam_msg_encode(const struct seam_msg *m, size_t *len)
{
	size_t size = HEAD_BYTES + (m->text ? strlen(m->text) : 0) +
		      m->loads * LOAD_BYTES;
	char *buf = malloc(size);
	struct out o = {.at = buf, .left = size};

	if (!buf)
		return NULL;
	mpack_tokbuf_init(&o.tb);
	put(&o, mpack_pack_map(6));
	put_num(&o, "v", SEAM_MSG_FORMAT);
	put_text(&o, "from", m->from);
	put_num(&o, "inc", m->inc);
	put_num(&o, "seq", m->seq);
	put_text(&o, "kind", kinds[m->kind]);
	put_str(&o, "body");
	put_body(&o, m);
	*len = size - o.left;
	if (!o.full)
		return buf;
	free(buf);
	return NULL;
}

struct in {
	mpack_tokbuf_t tb;
	const char *at;
	size_t left;
	bool bad;
};

static mpack_token_t get(struct in *i, mpack_token_type_t type)
{
	mpack_token_t t = {.length = 0};

	if (i->bad || mpack_read(&i->tb, &i->at, &i->left, &t) != MPACK_OK ||
	    t.type != type) {
		i->bad = true;
		memset(&t, 0, sizeof(t));
	}
	return t;
}

static uint64_t get_num(struct in *i)
{
	mpack_token_t t = get(i, MPACK_TOKEN_UINT);

	return i->bad ? 0 : mpack_unpack_uint(t);
}

/* Returns a string within the message; it has no NUL. */
static const char *get_str(struct in *i, size_t *len)
{
	mpack_token_t t = get(i, MPACK_TOKEN_STR);
	mpack_token_t chunk;

	*len = t.length;
	if (i->bad || !t.length)
		return "";
	chunk = get(i, MPACK_TOKEN_CHUNK);
	if (!i->bad && chunk.length != t.length)
		i->bad = true;
	return i->bad ? "" : chunk.data.chunk_ptr;
}

static void get_text(struct in *i, char *out, size_t size)
{
	size_t n;
	const char *s = get_str(i, &n);

	if (i->bad || n >= size || memchr(s, 0, n)) {
		i->bad = true;
		return;
	}
	memcpy(out, s, n);
	out[n] = '\0';
}

static char *get_copy(struct in *i)
{
	size_t n;
	const char *s = get_str(i, &n);
	char *copy;

	if (i->bad || !n)
		return NULL;
	copy = malloc(n + 1);
	if (!copy) {
		i->bad = true;
		return NULL;
	}
	memcpy(copy, s, n);
	copy[n] = '\0';
	return copy;
}

static void get_loads(struct in *i, struct seam_msg *m)
{
	size_t n = get(i, MPACK_TOKEN_MAP).length;
	size_t k;

	if (n > SEAM_LOADS_MAX)
		i->bad = true;
	if (i->bad || !n || m->load)
		return;
	m->load = calloc(n, sizeof(*m->load));
	if (!m->load) {
		i->bad = true;
		return;
	}
	m->loads = n;
	for (k = 0; k < n && !i->bad; k++) {
		get_text(i, m->load[k].target, sizeof(m->load[k].target));
		m->load[k].load = (uint32_t)get_num(i);
	}
}

static void get_body(struct in *i, struct seam_msg *m)
{
	size_t n = get(i, MPACK_TOKEN_MAP).length;

	while (n-- && !i->bad) {
		char name[16] = "";

		get_text(i, name, sizeof(name));
		if (!strcmp(name, "ver"))
			m->version = get_num(i);
		else if (!strcmp(name, "conf"))
			m->confirmed_at = (seam_time)get_num(i);
		else if (!strcmp(name, "sent"))
			m->sent_at = (seam_time)get_num(i);
		else if (!strcmp(name, "store"))
			m->store_at = (seam_time)get_num(i);
		else if (!strcmp(name, "uns"))
			m->unsettled = get_num(i) != 0;
		else if (!strcmp(name, "base"))
			m->base = get_num(i);
		else if (!strcmp(name, "next"))
			m->next = get_num(i);
		else if (!strcmp(name, "addr"))
			get_text(i, m->addr, sizeof(m->addr));
		else if (!strcmp(name, "text") && !m->text)
			m->text = get_copy(i);
		else if (!strcmp(name, "load"))
			get_loads(i, m);
		else
			i->bad = true;
	}
}

static void get_kind(struct in *i, struct seam_msg *m)
{
	char name[16] = "";
	int k;

	get_text(i, name, sizeof(name));
	for (k = 0; k < SEAM_MSG_KINDS; k++) {
		if (strcmp(kinds[k], name))
			continue;
		m->kind = (enum seam_msg_kind)k;
		return;
	}
	i->bad = true;
}

/* Members come in the fixed order in which seam_msg_encode() writes them. */
static bool name_is(struct in *i, const char *want)
{
	char name[16] = "";

	get_text(i, name, sizeof(name));
	if (strcmp(name, want))
		i->bad = true;
	return !i->bad;
}

int seam_msg_decode(const char *bytes, size_t len, struct seam_msg *m,
		    struct seam_err *e)
{
	struct in i = {.at = bytes, .left = len};

	memset(m, 0, sizeof(*m));
	mpack_tokbuf_init(&i.tb);
	if (get(&i, MPACK_TOKEN_MAP).length != 6)
		i.bad = true;
	if (name_is(&i, "v") && get_num(&i) != SEAM_MSG_FORMAT)
		i.bad = true;
	if (name_is(&i, "from"))
		get_text(&i, m->from, sizeof(m->from));
	if (name_is(&i, "inc"))
		m->inc = get_num(&i);
	if (name_is(&i, "seq"))
		m->seq = get_num(&i);
	if (name_is(&i, "kind"))
		get_kind(&i, m);
	if (name_is(&i, "body"))
		get_body(&i, m);
	if (!i.bad && !i.left && *m->from)
		return 0;
	seam_msg_free(m);
	return seam_fail(e, SEAM_BAD_REQUEST, "message: damaged");
}
