"""Configuration of Pathshala Lend Systems at its present size: three data centres in Bengal."""

from seamops import Config, key_hash

SERVICES = {"reserve": 12, "extend": 10, "return": 10, "catalogue": 10, "deposit": 8}


def build() -> Config:
    """Build the configuration of the deployment."""
    c = Config()
    for dc in ("kol-a", "kol-b", "sil-a"):
        c.data_centre(dc, "bengal")
    c.pool("spare", "spare")
    c.pool("workers", "tasks", minimum=40, maximum=56, budget=4)
    for team, share, limit in (("students", 6, 320), ("lenders", 4, 160), ("bookshops", 2, 80)):
        c.team(team, share=share, limit=limit)
    for workspace, team, share in (
            ("student-phones", "students", 5), ("student-exams", "students", 3),
            ("lender-counters", "lenders", 3), ("lender-ledgers", "lenders", 2),
            ("shop-orders", "bookshops", 2), ("shop-reports", "bookshops", 1)):
        c.workspace(workspace, team, share=share)
    for service, instances in SERVICES.items():
        pool = c.pool(service, "service", minimum=instances - 2, maximum=instances + 6, budget=2)
        c.service(service, pool, idempotent=service == "catalogue")
    # The lending counters open at 09:00 in Kolkata, which is 03:30 UTC.
    c.queue("reconcile", "lenders", "workers", idempotent=True, finish_at="03:15")
    c.queue("reminders", "students", "workers", idempotent=True)
    c.queue("notices", "bookshops", "workers", priority="urgent", open_to_all=True)
    for team in ("students", "lenders", "bookshops"):
        c.key(f"{team}-1", team, key_hash(f"{team}-example"))
    return c


if __name__ == "__main__":
    build().print()
