"""Parameters of policies: declared constraints, validation and representation."""

import dataclasses
import inspect


class InvalidParameterError(ValueError):
    """A parameter is unknown or violates its declared constraint."""


@dataclasses.dataclass(frozen=True)
class Interval:
    """A closed interval of numbers.

    :param kind: ``int`` or ``float``; a float parameter accepts an int.
    :param low: smallest accepted value, or ``None`` for no limit.
    :param high: largest accepted value, or ``None`` for no limit.
    """

    kind: type
    low: float | None
    high: float | None

    def accepts(self, value):
        """Return whether ``value`` has the kind and lies within the bounds."""
        if isinstance(value, bool):
            return False
        kinds = (int, float) if self.kind is float else (int,)
        if not isinstance(value, kinds):
            return False
        above = self.low is None or value >= self.low
        below = self.high is None or value <= self.high
        return above and below

    def __str__(self):
        low = "-inf" if self.low is None else self.low
        high = "inf" if self.high is None else self.high
        return f"{self.kind.__name__} in [{low}, {high}]"


@dataclasses.dataclass(frozen=True)
class Options:
    """A set of texts.

    :param values: the accepted values.
    """

    values: tuple

    def accepts(self, value):
        """Return whether ``value`` is one of the texts."""
        return isinstance(value, str) and value in self.values

    def __str__(self):
        return f"one of {sorted(self.values)}"


class Parameterized:
    """Base class of the policies.

    The constructor of a subclass only stores its parameters under their own names.
    ``_parameter_constraints`` declares the accepted values of each parameter; they
    are validated on first use.
    """

    _parameter_constraints = {}

    @classmethod
    def _parameter_defaults(cls):
        if cls.__init__ is object.__init__:
            return {}
        signature = inspect.signature(cls.__init__)
        parameters = list(signature.parameters.values())[1:]
        return {parameter.name: parameter.default for parameter in parameters}

    def get_params(self):
        """Return the parameters by name."""
        return {name: getattr(self, name) for name in self._parameter_defaults()}

    def set_params(self, **params):
        """Set parameters by name and return self.

        :raises InvalidParameterError: for a name the class does not have.
        """
        known = self._parameter_defaults()
        for name, value in params.items():
            if name not in known:
                raise InvalidParameterError(
                    f"{type(self).__name__} has no parameter {name!r}; "
                    f"expected one of {sorted(known)}"
                )
            setattr(self, name, value)
        self.__dict__.pop("_checked", None)
        return self

    def _check_params(self):
        """Validate the parameters once; later calls cost only a dictionary lookup."""
        if "_checked" in self.__dict__:
            return
        for name, constraint in self._parameter_constraints.items():
            value = getattr(self, name)
            if not constraint.accepts(value):
                raise InvalidParameterError(
                    f"{type(self).__name__}: {name}={value!r}, expected {constraint}"
                )
        self.__dict__["_checked"] = True

    def __repr__(self):
        defaults = self._parameter_defaults()
        changed = (
            f"{name}={value!r}"
            for name, value in self.get_params().items()
            if value is not defaults[name] and value != defaults[name]
        )
        return f"{type(self).__name__}({', '.join(changed)})"
