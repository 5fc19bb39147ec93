"""Wire formats of the platform: headers, message bodies, paths and HTTP calls.

Each message of the platform is decoded once, here, into types of the components. This
package makes no decisions.
"""
