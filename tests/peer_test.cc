// Tests of messages between nodes and of their transport over ZeroMQ.
#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>

#include "tests/addr.h"
#include "connection/peer.h"

static seam_msg sample()
{
	seam_msg m = {};

	snprintf(m.from, sizeof(m.from), "n1");
	m.inc = 3;
	m.seq = 1ull << 50;
	m.kind = SEAM_MSG_CHANGE;
	m.version = 7;
	m.base = 6;
	m.next = 5;
	m.confirmed_at = 1700000000000000;
	m.sent_at = m.confirmed_at + 5;
	m.store_at = 4;
	m.unsettled = true;
	m.text = strdup("{\"put\":[]}");
	m.loads = 2;
	m.load = (seam_load *)calloc(2, sizeof(*m.load));
	snprintf(m.load[0].target, 64, "vm-1");
	m.load[0].load = 5;
	snprintf(m.load[1].target, 64, "vm-2");
	return m;
}

// Guards against fields that are lost or swapped in the encoding.
TEST(Peer, RoundTrip)
{
	seam_msg m = sample();
	seam_msg r;
	seam_err e = SEAM_ERR_INIT;
	size_t len;
	char *bytes = seam_msg_encode(&m, &len);

	ASSERT_EQ(seam_msg_decode(bytes, len, &r, &e), 0);
	EXPECT_STREQ(r.from, "n1");
	EXPECT_EQ(r.inc, 3u);
	EXPECT_EQ(r.seq, m.seq);
	EXPECT_EQ(r.kind, SEAM_MSG_CHANGE);
	EXPECT_EQ(r.version, 7u);
	EXPECT_EQ(r.base, 6u);
	EXPECT_EQ(r.next, 5u);
	EXPECT_EQ(r.confirmed_at, m.confirmed_at);
	EXPECT_EQ(r.sent_at, m.sent_at);
	EXPECT_EQ(r.store_at, 4);
	EXPECT_TRUE(r.unsettled);
	EXPECT_STREQ(r.text, m.text);
	ASSERT_EQ(r.loads, 2u);
	EXPECT_STREQ(r.load[0].target, "vm-1");
	EXPECT_EQ(r.load[0].load, 5u);
	seam_msg_free(&r);
	seam_msg_free(&m);
	free(bytes);
}

// Guards against accepting damaged messages, and against reads past the end of
// a truncated one.
TEST(Peer, DamagedAndTruncatedAreRefused)
{
	seam_msg m = sample();
	seam_msg r;
	seam_err e = SEAM_ERR_INIT;
	seam_msg_key k;
	size_t len;

	seam_msg_key_init(&k, "key");
	char *bytes = seam_msg_seal(&k, "to", &m, &len);
	ASSERT_EQ(seam_msg_open(&k, "to", bytes, len, &r, &e), 0);
	seam_msg_free(&r);
	for (size_t i = 0; i < len; i++) {
		std::string copy(bytes, len);
		copy[i] ^= 0x11;
		EXPECT_EQ(seam_msg_open(&k, "to", copy.data(), len, &r, &e),
			  -1);
		EXPECT_EQ(seam_msg_open(&k, "to", std::string(bytes, i).data(),
					i, &r, &e),
			  -1);
		// The decoder must be safe without the check of the hash.
		if (i < SEAM_MSG_MAC_BYTES)
			continue;
		if (!seam_msg_decode(copy.data() + SEAM_MSG_MAC_BYTES,
				     len - SEAM_MSG_MAC_BYTES, &r, &e))
			seam_msg_free(&r);
		std::string cut(bytes + SEAM_MSG_MAC_BYTES,
				i - SEAM_MSG_MAC_BYTES);
		EXPECT_EQ(seam_msg_decode(cut.data(), cut.size(), &r, &e), -1);
	}
	seam_msg_free(&m);
	free(bytes);
}

// Guards against accepting messages of another cluster or for another node.
TEST(Peer, OtherKeyOrReceiverIsRefused)
{
	seam_msg m = sample();
	seam_msg r;
	seam_err e = SEAM_ERR_INIT;
	seam_msg_key k, other;
	size_t len;

	seam_msg_key_init(&k, "key");
	seam_msg_key_init(&other, "kez");
	char *bytes = seam_msg_seal(&k, "to", &m, &len);
	EXPECT_EQ(seam_msg_open(&other, "to", bytes, len, &r, &e), -1);
	EXPECT_EQ(e.kind, SEAM_UNAUTHENTICATED);
	EXPECT_EQ(seam_msg_open(&k, "tp", bytes, len, &r, &e), -1);
	seam_msg_free(&m);
	free(bytes);
}

static void count(void *arg, const char *, size_t len)
{
	((std::atomic<size_t> *)arg)->fetch_add(len);
}

static bool wait_for(std::atomic<size_t> &n, size_t want)
{
	for (int i = 0; i < 500 && n < want; i++)
		std::this_thread::sleep_for(std::chrono::milliseconds(10));
	return n >= want;
}

// Guards against a transport that does not reconnect after a peer restarts, and
// against a close that hangs while a peer is unreachable.
TEST(Peer, ZmqSurvivesRestartOfPeer)
{
	std::atomic<size_t> a{0}, b{0};
	seam_err e = SEAM_ERR_INIT;
	seam_bus *x = seam_bus_zmq_new(test_addr(24101).c_str(), count, &a, &e);
	seam_bus *y = seam_bus_zmq_new(test_addr(24102).c_str(), count, &b, &e);

	ASSERT_TRUE(x && y) << e.text;
	EXPECT_EQ(seam_bus_zmq_new(test_addr(24101).c_str(), count, &a, &e),
		  nullptr);
	EXPECT_EQ(e.kind, SEAM_UNAVAILABLE);
	x->ops->send(x, test_addr(24102).c_str(), "12345", 5);
	EXPECT_TRUE(wait_for(b, 5));
	seam_bus_close(y);
	y = seam_bus_zmq_new(test_addr(24102).c_str(), count, &b, &e);
	ASSERT_TRUE(y) << e.text;
	for (int i = 0; i < 50 && b < 10; i++) {
		x->ops->send(x, test_addr(24102).c_str(), "12345", 5);
		std::this_thread::sleep_for(std::chrono::milliseconds(100));
	}
	EXPECT_GE(b, 10u);
	x->ops->set_peers(x, nullptr, 0);
	x->ops->send(x, test_addr(24102).c_str(), "1", 1);
	size_t before = b;
	EXPECT_TRUE(wait_for(b, before + 1));
	x->ops->send(x, test_addr(24103).c_str(), "away", 4);
	seam_bus_close(x);
	seam_bus_close(y);
}
