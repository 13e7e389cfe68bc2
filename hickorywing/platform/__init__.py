"""Translate between hickorywing's model and the platform it runs on.

The platform is the outside service that provides the metadata store and the
workers, and that defines the format of the operator's configuration and of
callers' requests. Only this package knows its names, formats and calls. It
makes no scheduling decisions: each module converts messages of the platform to
hickorywing's types, or back.

The platform's terms stand for these of hickorywing: a *route* is a queue, a
*tenant* a customer, a *service* a pool, a *runner* or *instance* a worker,
``gpu`` a number of accelerators, ``fence`` an epoch, ``evacuate`` to take an
availability zone out of service, and ``hold`` to poll a worker and renew its
lease.
"""
