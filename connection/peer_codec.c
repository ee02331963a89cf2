#include "connection/peer.h"
#include "base/pack.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

static void put_uint(struct seam_packer *o, const char *name, uint64_t v)
{
	seam_pack_str(o, name);
	seam_pack_uint(o, v);
}

static void put_text(struct seam_packer *o, const char *name, const char *v)
{
	seam_pack_str(o, name);
	seam_pack_str(o, v);
}

static void put_body(struct seam_packer *o, const struct seam_msg *m)
{
	size_t i;

	seam_pack_map(o, 9);
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
	seam_pack_str(o, "load");
	seam_pack_map(o, m->loads);
	for (i = 0; i < m->loads; i++)
		put_uint(o, m->load[i].target, m->load[i].load);
}

char *seam_msg_encode(const struct seam_msg *m, size_t *len)
{
	struct seam_packer o;

	seam_pack_init(&o);
	seam_pack_map(&o, 6);
	put_uint(&o, "v", SEAM_MSG_FORMAT);
	put_text(&o, "from", m->from);
	put_uint(&o, "inc", m->inc);
	put_uint(&o, "seq", m->seq);
	put_text(&o, "kind", kinds[m->kind]);
	seam_pack_str(&o, "body");
	put_body(&o, m);
	return seam_pack_finish(&o, len);
}

static void get_loads(struct seam_unpacker *d, struct seam_msg *m)
{
	size_t n = seam_unpack_map(d);
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
		seam_unpack_str(d, m->load[k].target,
				sizeof(m->load[k].target));
		m->load[k].load = (uint32_t)seam_unpack_uint(d);
	}
}

/* An empty text is none. */
static void get_body_text(struct seam_unpacker *d, struct seam_msg *m)
{
	m->text = seam_unpack_strdup(d);
	if (m->text && !*m->text) {
		free(m->text);
		m->text = NULL;
	}
}

static void get_body(struct seam_unpacker *d, struct seam_msg *m)
{
	size_t n = seam_unpack_map(d);

	while (n-- && !d->malformed) {
		char name[16] = "";

		seam_unpack_str(d, name, sizeof(name));
		if (!strcmp(name, "ver"))
			m->version = seam_unpack_uint(d);
		else if (!strcmp(name, "conf"))
			m->confirmed_at = (seam_time)seam_unpack_uint(d);
		else if (!strcmp(name, "sent"))
			m->sent_at = (seam_time)seam_unpack_uint(d);
		else if (!strcmp(name, "store"))
			m->store_at = (seam_time)seam_unpack_uint(d);
		else if (!strcmp(name, "uns"))
			m->unsettled = seam_unpack_uint(d) != 0;
		else if (!strcmp(name, "base"))
			m->base = seam_unpack_uint(d);
		else if (!strcmp(name, "next"))
			m->next = seam_unpack_uint(d);
		else if (!strcmp(name, "addr"))
			seam_unpack_str(d, m->addr, sizeof(m->addr));
		else if (!strcmp(name, "text") && !m->text)
			get_body_text(d, m);
		else if (!strcmp(name, "load"))
			get_loads(d, m);
		else
			d->malformed = true;
	}
}

static void get_kind(struct seam_unpacker *d, struct seam_msg *m)
{
	char name[16] = "";
	int k;

	seam_unpack_str(d, name, sizeof(name));
	for (k = 0; k < SEAM_MSG_KINDS; k++) {
		if (strcmp(kinds[k], name))
			continue;
		m->kind = (enum seam_msg_kind)k;
		return;
	}
	d->malformed = true;
}

/* Keys are in the fixed order in which seam_msg_encode() writes them. */
static bool expect_key(struct seam_unpacker *d, const char *key)
{
	char name[16] = "";

	seam_unpack_str(d, name, sizeof(name));
	if (strcmp(name, key))
		d->malformed = true;
	return !d->malformed;
}

int seam_msg_decode(const char *bytes, size_t len, struct seam_msg *m,
		    struct seam_err *e)
{
	struct seam_unpacker d;

	memset(m, 0, sizeof(*m));
	seam_unpack_init(&d, bytes, len);
	if (seam_unpack_map(&d) != 6)
		d.malformed = true;
	if (expect_key(&d, "v") && seam_unpack_uint(&d) != SEAM_MSG_FORMAT)
		d.malformed = true;
	if (expect_key(&d, "from"))
		seam_unpack_str(&d, m->from, sizeof(m->from));
	if (expect_key(&d, "inc"))
		m->inc = seam_unpack_uint(&d);
	if (expect_key(&d, "seq"))
		m->seq = seam_unpack_uint(&d);
	if (expect_key(&d, "kind"))
		get_kind(&d, m);
	if (expect_key(&d, "body"))
		get_body(&d, m);
	if (seam_unpack_done(&d) && *m->from)
		return 0;
	seam_msg_free(m);
	return seam_fail(e, SEAM_BAD_REQUEST,
			 "message: malformed or of another format");
}
