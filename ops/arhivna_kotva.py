"""Configuration of Arhivna Kotva OOD at its present size: three data centres in Sofia."""

from seamops import Config, key_hash

SERVICES = {"ingest": 10, "index": 12, "retrieve": 12, "review": 8, "register": 8}


def build() -> Config:
    """Build the configuration of the deployment."""
    c = Config()
    for dc in ("sof-a", "sof-b", "sof-c"):
        c.data_centre(dc, "sofia")
    c.pool("spare", "spare")
    c.pool("workers", "tasks", minimum=40, maximum=56, budget=4)
    for team, share, limit in (("notaries", 4, 120), ("clinics", 3, 100), ("municipal", 3, 140)):
        c.team(team, share=share, limit=limit)
    for workspace, team, share in (
            ("notary-deeds", "notaries", 3), ("notary-archive", "notaries", 1),
            ("clinic-records", "clinics", 3), ("clinic-imaging", "clinics", 2),
            ("municipal-registry", "municipal", 4), ("municipal-retention", "municipal", 1)):
        c.workspace(workspace, team, share=share)
    for service, instances in SERVICES.items():
        pool = c.pool(service, "service", minimum=instances - 2, maximum=instances + 6, budget=1)
        c.service(service, pool, idempotent=service == "retrieve")
    c.queue("retrievals", "notaries", "workers", priority="urgent", idempotent=True)
    c.queue("indexing", "clinics", "workers", idempotent=True)
    # Not idempotent: a disposal order must never run twice.
    c.queue("disposal", "municipal", "workers")
    for team in ("notaries", "clinics", "municipal"):
        c.key(f"{team}-1", team, key_hash(f"{team}-example"))
    return c


if __name__ == "__main__":
    build().print()
