#include "connection/peer.h"

#include <mpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIXED_BYTES_MAX 512 /* all fields but the text and the loads */
#define LOAD_ENTRY_BYTES_MAX 80

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

struct encoder {
	mpack_tokbuf_t tb;
	char *pos;
	size_t left;
	bool overflow;
};

static void put_token(struct encoder *o, mpack_token_t t)
{
	if (mpack_write(&o->tb, &o->pos, &o->left, &t) != MPACK_OK)
		o->overflow = true;
}

static void put_str(struct encoder *o, const char *s)
{
	mpack_uint32_t n = (mpack_uint32_t)strlen(s);

	put_token(o, mpack_pack_str(n));
	if (n)
		put_token(o, mpack_pack_chunk(s, n));
}

static void put_uint(struct encoder *o, const char *name, uint64_t v)
{
	put_str(o, name);
	put_token(o, mpack_pack_uint(v));
}

static void put_text(struct encoder *o, const char *name, const char *v)
{
	put_str(o, name);
	put_str(o, v);
}

static void put_body(struct encoder *o, const struct seam_msg *m)
{
	size_t i;

	put_token(o, mpack_pack_map(9));
	put_uint(o, "ver", m->version);
	put_uint(o, "conf", (uint64_t)m->confirmed_at);
	put_uint(o, "sent", (uint64_t)m->sent_at);
	put_uint(o, "store", (uint64_t)m->store_at);
	put_uint(o, "uns", m->unsettled);
	put_uint(o, "next", m->next);
	if (m->kind == SEAM_MSG_SNAPSHOT_GET)
		put_text(o, "addr", m->addr);
	else
		put_uint(o, "base", m->base);
	put_text(o, "text", m->text ? m->text : "");
	put_str(o, "load");
	put_token(o, mpack_pack_map((mpack_uint32_t)m->loads));
	for (i = 0; i < m->loads; i++)
		put_uint(o, m->load[i].target, m->load[i].load);
}

char *seam_msg_encode(const struct seam_msg *m, size_t *len)
{
	size_t size = FIXED_BYTES_MAX + (m->text ? strlen(m->text) : 0) +
		      m->loads * LOAD_ENTRY_BYTES_MAX;
	char *buf = malloc(size);
	struct encoder o = {.pos = buf, .left = size};

	if (!buf)
		return NULL;
	mpack_tokbuf_init(&o.tb);
	put_token(&o, mpack_pack_map(6));
	put_uint(&o, "v", SEAM_MSG_FORMAT);
	put_text(&o, "from", m->from);
	put_uint(&o, "inc", m->inc);
	put_uint(&o, "seq", m->seq);
	put_text(&o, "kind", kinds[m->kind]);
	put_str(&o, "body");
	put_body(&o, m);
	*len = size - o.left;
	if (!o.overflow)
		return buf;
	free(buf);
	return NULL;
}

struct decoder {
	mpack_tokbuf_t tb;
	const char *pos;
	size_t left;
	bool malformed;
};

static mpack_token_t get_token(struct decoder *d, mpack_token_type_t type)
{
	mpack_token_t t = {.length = 0};

	if (d->malformed ||
	    mpack_read(&d->tb, &d->pos, &d->left, &t) != MPACK_OK ||
	    t.type != type) {
		d->malformed = true;
		memset(&t, 0, sizeof(t));
	}
	return t;
}

static uint64_t get_uint(struct decoder *d)
{
	mpack_token_t t = get_token(d, MPACK_TOKEN_UINT);

	return d->malformed ? 0 : mpack_unpack_uint(t);
}

/* Returns a string inside the message; it is not NUL-terminated. */
static const char *get_str(struct decoder *d, size_t *len)
{
	mpack_token_t t = get_token(d, MPACK_TOKEN_STR);
	mpack_token_t chunk;

	*len = t.length;
	if (d->malformed || !t.length)
		return "";
	chunk = get_token(d, MPACK_TOKEN_CHUNK);
	if (!d->malformed && chunk.length != t.length)
		d->malformed = true;
	return d->malformed ? "" : chunk.data.chunk_ptr;
}

static void get_text(struct decoder *d, char *out, size_t size)
{
	size_t n;
	const char *s = get_str(d, &n);

	if (d->malformed || n >= size || memchr(s, 0, n)) {
		d->malformed = true;
		return;
	}
	memcpy(out, s, n);
	out[n] = '\0';
}

static char *get_copy(struct decoder *d)
{
	size_t n;
	const char *s = get_str(d, &n);
	char *copy;

	if (d->malformed || !n)
		return NULL;
	copy = malloc(n + 1);
	if (!copy) {
		d->malformed = true;
		return NULL;
	}
	memcpy(copy, s, n);
	copy[n] = '\0';
	return copy;
}

static void get_loads(struct decoder *d, struct seam_msg *m)
{
	size_t n = get_token(d, MPACK_TOKEN_MAP).length;
	size_t k;

	if (n > SEAM_MSG_LOADS_MAX)
		d->malformed = true;
	if (d->malformed || !n || m->load)
		return;
	m->load = calloc(n, sizeof(*m->load));
	if (!m->load) {
		d->malformed = true;
		return;
	}
	m->loads = n;
	for (k = 0; k < n && !d->malformed; k++) {
		get_text(d, m->load[k].target, sizeof(m->load[k].target));
		m->load[k].load = (uint32_t)get_uint(d);
	}
}

static void get_body(struct decoder *d, struct seam_msg *m)
{
	size_t n = get_token(d, MPACK_TOKEN_MAP).length;

	while (n-- && !d->malformed) {
		char name[16] = "";

		get_text(d, name, sizeof(name));
		if (!strcmp(name, "ver"))
			m->version = get_uint(d);
		else if (!strcmp(name, "conf"))
			m->confirmed_at = (seam_time)get_uint(d);
		else if (!strcmp(name, "sent"))
			m->sent_at = (seam_time)get_uint(d);
		else if (!strcmp(name, "store"))
			m->store_at = (seam_time)get_uint(d);
		else if (!strcmp(name, "uns"))
			m->unsettled = get_uint(d) != 0;
		else if (!strcmp(name, "base"))
			m->base = get_uint(d);
		else if (!strcmp(name, "next"))
			m->next = get_uint(d);
		else if (!strcmp(name, "addr"))
			get_text(d, m->addr, sizeof(m->addr));
		else if (!strcmp(name, "text") && !m->text)
			m->text = get_copy(d);
		else if (!strcmp(name, "load"))
			get_loads(d, m);
		else
			d->malformed = true;
	}
}

static void get_kind(struct decoder *d, struct seam_msg *m)
{
	char name[16] = "";
	int k;

	get_text(d, name, sizeof(name));
	for (k = 0; k < SEAM_MSG_KINDS; k++) {
		if (strcmp(kinds[k], name))
			continue;
		m->kind = (enum seam_msg_kind)k;
		return;
	}
	d->malformed = true;
}

/* Keys are in the fixed order in which seam_msg_encode() writes them. */
static bool expect_key(struct decoder *d, const char *key)
{
	char name[16] = "";

	get_text(d, name, sizeof(name));
	if (strcmp(name, key))
		d->malformed = true;
	return !d->malformed;
}

int seam_msg_decode(const char *bytes, size_t len, struct seam_msg *m,
		    struct seam_err *e)
{
	struct decoder d = {.pos = bytes, .left = len};

	memset(m, 0, sizeof(*m));
	mpack_tokbuf_init(&d.tb);
	if (get_token(&d, MPACK_TOKEN_MAP).length != 6)
		d.malformed = true;
	if (expect_key(&d, "v") && get_uint(&d) != SEAM_MSG_FORMAT)
		d.malformed = true;
	if (expect_key(&d, "from"))
		get_text(&d, m->from, sizeof(m->from));
	if (expect_key(&d, "inc"))
		m->inc = get_uint(&d);
	if (expect_key(&d, "seq"))
		m->seq = get_uint(&d);
	if (expect_key(&d, "kind"))
		get_kind(&d, m);
	if (expect_key(&d, "body"))
		get_body(&d, m);
	if (!d.malformed && !d.left && *m->from)
		return 0;
	seam_msg_free(m);
	return seam_fail(e, SEAM_BAD_REQUEST,
			 "message: malformed or of another format");
}
